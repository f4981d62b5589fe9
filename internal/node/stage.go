package node

import "context"

// stage is a part that has to be stopped while the rest of its process still works, such as
// the owner of job shards, which hands them over through listeners and sessions.
type stage struct {
	work   func(context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newStage(work func(context.Context) error) *stage {
	s := &stage{work: work, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// run works until drain is called or ctx ends.
func (s *stage) run(ctx context.Context) error {
	defer close(s.done)
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	return s.work(s.ctx)
}

// drain stops the work and waits for its end, until ctx ends at most.
func (s *stage) drain(ctx context.Context) {
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
