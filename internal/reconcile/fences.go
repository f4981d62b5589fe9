package reconcile

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// fences tells sides that have started the newest fencing number. Each answer comes from a read
// of the placement stream that begins after the question: every order that an earlier process of the side
// has passed on carries a number that was in the log by then. A process that was paused
// reads too, so its answers are as good as any.
type fences struct {
	log     platform.Log
	logger  hclog.Logger
	follows func() bool // whether this process is to read the stream

	mu    sync.Mutex
	asked map[structs.HostID]func(*structs.Frame) error
	wake  chan struct{}

	claims reconcile.Claims // of run alone
}

func newFences(log platform.Log, logger hclog.Logger, follows func() bool) *fences {
	return &fences{
		log:     log,
		logger:  logger,
		follows: follows,
		asked:   make(map[structs.HostID]func(*structs.Frame) error),
		wake:    make(chan struct{}, 1),
	}
}

// ask notes a side's question. Processes that don't follow the stream leave it to the others:
// the one that gives orders is among them.
func (f *fences) ask(side structs.HostID, send func(*structs.Frame) error) {
	if !f.follows() {
		return
	}
	f.mu.Lock()
	f.asked[side] = send
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run answers until ctx is done. Questions that come while it reads wait for the next read.
func (f *fences) run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		asked := f.asked
		f.asked = make(map[structs.HostID]func(*structs.Frame) error)
		f.mu.Unlock()
		if !f.toEnd(ctx) {
			return
		}
		for side, send := range asked {
			err := send(&structs.Frame{Fence: &structs.Fence{Highest: f.claims.Epoch}})
			f.logger.Debug("fencing number told", "side", side, "fence", f.claims.Epoch, "error", err)
		}
	}
}

// toEnd reads until the stream's end, trying again while the log is down: nobody could order
// anything meanwhile. It reports false when ctx is done.
func (f *fences) toEnd(ctx context.Context) bool {
	for ctx.Err() == nil {
		end, err := readClaims(ctx, f.log, &f.claims, 0)
		if err != nil && !errs.Is(err, errs.LogTrimmed) {
			f.logger.Debug("placement stream", "error", err)
			sleep.For(ctx, errorPause)
		}
		if end {
			return true
		}
	}
	return false
}
