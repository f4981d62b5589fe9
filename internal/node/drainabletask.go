package node

import "context"

// drainableTask is a background task that is stopped before the other parts of its process. An example is the
// owner of job shards: to hand its shards over, it needs the listeners and sessions of the process.
type drainableTask struct {
	work   func(context.Context) error // the task; it returns soon after its context ends
	ctx    context.Context             // context of work
	cancel context.CancelFunc          // ends ctx
	done   chan struct{}               // closed when work has returned
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
