package node

import "context"

// drainableTask is a task that must stop while the rest of its process still works, such as the owner of job
// shards, which hands them over through listeners and sessions.
type drainableTask struct {
	work   func(context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newDrainableTask(work func(context.Context) error) *drainableTask {
	t := &drainableTask{work: work, done: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// run executes the task until drain is called or ctx ends. It must be called at most once.
func (t *drainableTask) run(ctx context.Context) error {
	defer close(t.done)
	stop := context.AfterFunc(ctx, t.cancel)
	defer stop()
	return t.work(t.ctx)
}

// drain stops the task and waits until it has returned or ctx ends.
func (t *drainableTask) drain(ctx context.Context) {
	t.cancel()
	select {
	case <-t.done:
	case <-ctx.Done():
	}
}
