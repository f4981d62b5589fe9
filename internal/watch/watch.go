// Package watch follows the operator's configuration and the list of targets, and keeps what this
// process believes of both.
package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/freshness"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/bootclock"
	"arbutusramp/internal/dependency"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

const (
	// pollWait is how long one read waits for news. An answer without news also proves that
	// the store can still be reached.
	pollWait = time.Second
	// pollPause lets changes gather between two reads: each read costs, and targets write
	// more often than anything changes. What has changed must be known within two seconds at the least.
	pollPause = 300 * time.Millisecond
	// retryPause is the time between reads that fail.
	retryPause = 100 * time.Millisecond
	// lapseGrace is how long after an outage of the store an entry of a target may still be
	// missing although the target lives: entries lapse meanwhile and are back within two seconds
	// of the store's return. A process can't tell a lapsed entry from one that was removed, and
	// after a removal requests must end within two seconds; it is shorter than that by what a
	// process may notice the return later.
	lapseGrace = 1500 * time.Millisecond
	// noConfigRetry is when a caller should come back that came before the configuration.
	noConfigRetry = 300 * time.Millisecond
)

// Watch is what a process believes of the configuration and the targets.
type Watch struct {
	dir  platform.Directory
	view *fleetview.View
	log  hclog.Logger
	// lines are about targets, of which many are listed at once.
	lines *logging.Routine

	clock    bootclock.Clock
	quotas   Quotas
	observer TargetObserver
	// revokeWithin is Options.RevokeWithin.
	revokeWithin time.Duration

	mu         sync.RWMutex
	config     *serving.Config
	router     *serving.Router
	workspaces *workspace.Index
	proof      freshness.Proof // that config is the newest
	listed     bool            // the list of targets has been read, or some of its targets
}

// Quotas gets the quotas of each configuration that is put in force.
type Quotas interface {
	SetWorkspaces(list []workspace.Workspace)
}

// TargetObserver is told of changes of the list of targets.
type TargetObserver interface {
	// TargetsGone notes targets that are no longer on the list, by id.
	TargetsGone(ids []string)
}

// Options are what a Watch needs to know.
type Options struct {
	Directory platform.Directory
	View      *fleetview.View // gets the targets
	Quotas    Quotas
	Observer  TargetObserver
	// RevokeWithin is how long after a key was taken away a request may still run by it, also at a process that is cut off; 0 is
	// no bound.
	RevokeWithin time.Duration
	Clock        bootclock.Clock
	Log          hclog.Logger
}

// New returns a watch that knows nothing yet.
func New(o Options) *Watch {
	return &Watch{dir: o.Directory, view: o.View, quotas: o.Quotas, observer: o.Observer, clock: o.Clock, log: o.Log, lines: logging.NewRoutine(o.Log), revokeWithin: o.RevokeWithin, proof: freshness.New(o.RevokeWithin)}
}

// Run follows both until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.followConfig(ctx) })
	g.Go(func() error { return w.followTargets(ctx) })
	return g.Wait()
}

// Route implements the callers' search for a route. Errors: errs.NoTarget while no configuration is
// known, since a route that is not known may exist; errs.NotFound.
func (w *Watch) Route(host, uri string) (*serving.Route, serving.Limits, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return nil, serving.Limits{}, errs.New(errs.NoTarget, "no configuration is known yet").WithRetry(noConfigRetry)
	}
	route := w.router.Match(host, uri)
	if route == nil {
		return nil, serving.Limits{}, errs.Newf(errs.NotFound, "no route in version %d of the configuration", w.config.Version)
	}
	return route, w.config.Limits, nil
}

// Version is the configuration's version in force, 0 before the first.
func (w *Watch) Version() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return 0
	}
	return w.config.Version
}

// Ready says whether the configuration and the targets are known. A process that knows no targets yet
// refuses all requests, while others would serve them.
func (w *Watch) Ready() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.config != nil && w.listed
}

// Age is how long ago the configuration was last known to be the newest; the time since the host's start before that.
func (w *Watch) Age() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	age, _ := w.proof.Age(w.clock())
	return age
}

// pauses are those between two reads.
var pauses = dependency.Pauses{Answered: pollPause, Failed: retryPause}

func (w *Watch) followConfig(ctx context.Context) error {
	var news platform.ConfigNews
	var asked time.Duration
	link := dependency.NewLink(w.log, "configuration")
	read := func() error {
		asked = w.clock()
		got, err := w.dir.Config(ctx, news.Known, link.Patience(w.configWait()))
		if err == nil {
			news = got
			w.view.SetContact()
		}
		return err
	}
	link.Follow(ctx, pauses, read, func(bool) {
		if news.Unusable != nil {
			w.log.Error("configuration can't be read: what is in force stays", "in_force", w.Version(), "error", news.Unusable)
		}
		w.take(news.Config)
		if news.IsCurrent {
			w.confirm(asked)
		}
	})
	return nil
}

// proofShare is how much of the bound on revocations one read of the configuration may wait for news. A proof is as old as the question,
// so that it grows by two waits and a pause before the next one.
const proofShare = 0.1

// configWait is how long a read of the configuration waits for news.
func (w *Watch) configWait() time.Duration {
	if w.revokeWithin == 0 {
		return pollWait
	}
	return min(pollWait, time.Duration(proofShare*float64(w.revokeWithin)))
}

// confirm notes that a read which began at that time has shown the newest configuration.
func (w *Watch) confirm(asked time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proof.Confirm(asked)
}

// take puts a configuration in force. One of an older version is left out: a read may be
// answered from what was there before, and what was once in force must not come back.
func (w *Watch) take(c *serving.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c == nil {
		return
	}
	if w.config != nil && c.Version <= w.config.Version {
		w.log.Info("configuration left out", "version", c.Version, "in_force", w.config.Version)
		return
	}
	w.config = c
	w.router = serving.NewRouter(c)
	index, problems := workspace.NewIndex(c.Workspaces)
	w.workspaces = index
	w.quotas.SetWorkspaces(c.Workspaces)
	for _, problem := range append(c.Problems, problems...) {
		w.log.Error("part of the configuration left out", "version", c.Version, "error", problem)
	}
	w.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "keys_required", c.KeysRequired, "workspaces", index.Len(), "workspace_ranks", fmt.Sprint(index.Ranks()))
}

func (w *Watch) followTargets(ctx context.Context) error {
	var news platform.TargetNews
	list := newTargetList()
	link := dependency.NewLink(w.log, "targets")
	read := func() error {
		wait := link.Patience(min(pollWait, list.untilExpiry(time.Now())))
		got, err := w.dir.Targets(ctx, news.Known, wait)
		if err == nil {
			news = got
			w.view.SetContact()
		}
		return err
	}
	pace := dependency.Pauses{Failed: pauses.Failed, More: func() time.Duration {
		if news.More {
			return 0 // a list of many targets comes in parts
		}
		return pauses.Answered
	}}
	link.Follow(ctx, pace, read, func(back bool) {
		now := time.Now()
		if back {
			list.onStoreRecovered(now)
		}
		w.applyTargets(list.take(now, news))
		w.noteListed(news.Whole || len(news.Present) > 0)
	})
	return nil
}

// noteListed notes that the list of targets has been read, or so much of it that requests can be served.
func (w *Watch) noteListed(usable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = w.listed || usable
}

func (w *Watch) applyTargets(c targetChanges) {
	for _, e := range c.unusable {
		w.log.Warn("entry names no target to use", "name", e.Name, "error", e.Err)
	}
	for _, t := range c.older {
		w.log.Info("entry of an older start left out", "target", t.ID)
	}
	if len(c.put) == 0 && len(c.gone) == 0 {
		return
	}
	w.view.Put(c.put, c.gone)
	w.view.Ended(c.ended)
	w.observer.TargetsGone(c.gone)
	for _, t := range c.put {
		w.lines.Info(time.Now(), "target", "target", t.ID, "addr", t.Addr, "service", t.Service, "slots", t.Slots, "domain", t.Domain, "draining", t.Draining)
	}
	for _, id := range c.gone {
		w.log.Info("target gone", "target", id, "restarted", slices.Contains(c.ended, id))
	}
}
