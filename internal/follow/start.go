package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/relay"
	"arbutusramp/core/sleep"
)

// askAtOnce bounds the questions that a new process has open while the log is down.
const askAtOnce = 32

// start brings a new process to the head of the log before it is ready. With the
// log down it takes the highest version that its peers hold. It asks all of
// them: the last change may have reached one process only.
func (f *Follower) start(ctx context.Context) {
	for ctx.Err() == nil {
		f.fromParents(ctx, relay.Parents(f.self, f.opts.Members()), 0)
		err := f.toHead(ctx)
		if err == nil {
			f.becomeReady("log")
			return
		}
		f.log.Warn("log can't be read at start", "error", err)
		if f.fromAllPeers(ctx) && errs.Is(err, errs.LogDown) {
			f.becomeReady("peers")
			return
		}
		sleep.For(ctx, backoffMin+rand.N(backoffMax-backoffMin))
	}
}

// toHead reads the log until there is nothing more.
func (f *Follower) toHead(ctx context.Context) error {
	for {
		before := f.Current().Version
		if err := f.fromLog(ctx, 0); err != nil {
			return err
		}
		if f.Current().Version == before {
			return nil
		}
	}
}

// fromAllPeers takes the highest version of all live entries. It reports whether any
// of them, ready itself, has answered.
func (f *Follower) fromAllPeers(ctx context.Context) bool {
	var answered atomic.Int64
	var g errgroup.Group
	g.SetLimit(askAtOnce)
	for _, p := range relay.Peers(f.self.ID, f.opts.Members()) {
		g.Go(func() error {
			if f.askHeld(ctx, p) {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait() // its functions return no error
	return answered.Load() > 0
}

// askHeld asks p for what it holds, however old.
func (f *Follower) askHeld(ctx context.Context, p platform.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, pollGrace)
	defer cancel()
	m, err := f.fetch.Fetch(ctx, p, f.Current().Version, 0)
	if err == nil {
		err = f.take(m)
	}
	if err != nil {
		f.log.Info("entry asked for its configuration", "entry", p.ID, "error", err)
		return false
	}
	return true
}
