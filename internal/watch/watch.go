// Package watch follows the operator's configuration and the list of targets, and keeps the current state
// of both in this process.
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
	// pollWait is how long one read waits for news. An answer without news also proves that the store is
	// reachable.
	pollWait = time.Second
	// pollPause is the time between two reads, in which changes accumulate: each read has a cost, and
	// targets write more often than anything changes. A change must be known within two seconds at the
	// latest.
	pollPause = 300 * time.Millisecond
	// retryPause is the time between reads while they fail.
	retryPause = 100 * time.Millisecond
	// entryGrace is how long after an outage of the store the entry of a running target may still be
	// missing: entries expire during the outage and are written again within two seconds of the recovery. A
	// process cannot distinguish an expired entry from a removed one, and after a removal requests must end
	// within two seconds. The grace period is therefore shorter than that, by the delay with which a
	// process may detect the recovery.
	entryGrace = 1500 * time.Millisecond
	// noConfigRetryAfter is the retry delay for a caller that arrives before the first configuration.
	noConfigRetryAfter = 300 * time.Millisecond
)

// Watch holds the configuration and the target list that are known to this process. It is safe for
// concurrent use.
type Watch struct {
	directory platform.Directory
	view      *fleetview.View
	log       hclog.Logger
	// targetLog logs lines about targets, many of which can be listed at once.
	targetLog *logging.Routine

	clock    bootclock.Clock
	quotas   Quotas
	observer TargetObserver
	// revokeWithin is Options.RevokeWithin.
	revokeWithin time.Duration

	mu         sync.RWMutex
	config     *serving.Config
	router     *serving.Router
	workspaces *workspace.Index
	proof      freshness.Proof // when config was last confirmed as the newest version
	hasTargets bool            // the list of targets, or a usable part of it, has been read
}

// Quotas receives the quotas of each configuration that is put in force.
type Quotas interface {
	SetWorkspaces(list []workspace.Workspace)
}

// TargetObserver is notified of changes of the target list.
type TargetObserver interface {
	// TargetsGone is called with the ids of targets that are no longer on the list.
	TargetsGone(ids []string)
}

// Options are the dependencies and settings of a Watch.
type Options struct {
	Directory platform.Directory
	View      *fleetview.View // receives the targets
	Quotas    Quotas
	Observer  TargetObserver
	// RevokeWithin bounds how long after the revocation of a key a request may still be authorized by it,
	// even at a process that is separated from the store; 0 is no bound.
	RevokeWithin time.Duration
	Clock        bootclock.Clock
	Log          hclog.Logger
}

// New returns a Watch without a configuration or targets.
func New(o Options) *Watch {
	return &Watch{directory: o.Directory, view: o.View, quotas: o.Quotas, observer: o.Observer, clock: o.Clock, log: o.Log, targetLog: logging.NewRoutine(o.Log), revokeWithin: o.RevokeWithin, proof: freshness.New(o.RevokeWithin)}
}

// Run follows the configuration and the targets until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.followConfig(ctx) })
	g.Go(func() error { return w.followTargets(ctx) })
	return g.Wait()
}

// Route returns the route of a request and the configured limits. Errors: errs.NoTarget while no
// configuration is known, since the route may exist; errs.NotFound.
func (w *Watch) Route(host, uri string) (*serving.Route, serving.Limits, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return nil, serving.Limits{}, errs.New(errs.NoTarget, "no configuration has been read yet").WithRetry(noConfigRetryAfter)
	}
	route := w.router.Match(host, uri)
	if route == nil {
		return nil, serving.Limits{}, errs.Newf(errs.NotFound, "no route in version %d of the configuration", w.config.Version)
	}
	return route, w.config.Limits, nil
}

// Version returns the version of the configuration in force, 0 before the first.
func (w *Watch) Version() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return 0
	}
	return w.config.Version
}

// Ready reports whether the configuration and the targets are known. A process without known targets
// rejects all requests, while other processes could serve them.
func (w *Watch) Ready() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.config != nil && w.hasTargets
}

// Age returns how long ago the configuration was last confirmed as the newest version; before the first
// confirmation, the time since the start of the host.
func (w *Watch) Age() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	age, _ := w.proof.Age(w.clock())
	return age
}

// readPauses are the times between two reads.
var readPauses = dependency.Pauses{Answered: pollPause, Failed: retryPause}

// followConfig reads the configuration and applies it until ctx ends.
func (w *Watch) followConfig(ctx context.Context) error {
	var news platform.ConfigNews
	var readStart time.Duration
	link := dependency.NewLink(w.log, "configuration")
	read := func() error {
		readStart = w.clock()
		got, err := w.directory.Config(ctx, news.Known, link.Patience(w.configWait()))
		if err == nil {
			news = got
			w.view.SetContact()
		}
		return err
	}
	link.Follow(ctx, readPauses, read, func(bool) {
		if news.Unusable != nil {
			w.log.Error("configuration unreadable; the version in force is kept", "in_force", w.Version(), "error", news.Unusable)
		}
		w.applyConfig(news.Config)
		if news.IsCurrent {
			w.confirm(readStart)
		}
	})
	return nil
}

// configWaitShare is the share of RevokeWithin that one read of the configuration may wait for news. A
// confirmation counts from the start of its read, so that it is two waits and one pause old before the next
// one arrives.
const configWaitShare = 0.1

// configWait returns how long a read of the configuration waits for news.
func (w *Watch) configWait() time.Duration {
	if w.revokeWithin == 0 {
		return pollWait
	}
	return min(pollWait, time.Duration(configWaitShare*float64(w.revokeWithin)))
}

// confirm records that a read that started at readStart, by w.clock, has returned the newest configuration.
func (w *Watch) confirm(readStart time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proof.Confirm(readStart)
}

// applyConfig puts a configuration in force. An older version is ignored: a read may be answered from an
// earlier state, and a version that was replaced must not return.
func (w *Watch) applyConfig(c *serving.Config) {
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

// followTargets reads the list of targets and applies it until ctx ends.
func (w *Watch) followTargets(ctx context.Context) error {
	var news platform.TargetNews
	list := newTargetList()
	link := dependency.NewLink(w.log, "targets")
	read := func() error {
		wait := link.Patience(min(pollWait, list.timeToGraceEnd(time.Now())))
		got, err := w.directory.Targets(ctx, news.Known, wait)
		if err == nil {
			news = got
			w.view.SetContact()
		}
		return err
	}
	targetPauses := dependency.Pauses{Failed: readPauses.Failed, More: func() time.Duration {
		if news.More {
			return 0 // a long list arrives in parts
		}
		return readPauses.Answered
	}}
	link.Follow(ctx, targetPauses, read, func(isBack bool) {
		now := time.Now()
		if isBack {
			list.onStoreRecovered(now)
		}
		w.applyTargets(list.update(now, news))
		w.markTargetsKnown(news.Whole || len(news.Present) > 0)
	})
	return nil
}

// markTargetsKnown records that the list of targets has been read, or enough of it to serve requests.
func (w *Watch) markTargetsKnown(isUsable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasTargets = w.hasTargets || isUsable
}

// applyTargets logs the changes of the list and passes them to the view and the observer.
func (w *Watch) applyTargets(c targetChanges) {
	for _, e := range c.unusable {
		w.log.Warn("entry names no target to use", "name", e.Name, "error", e.Err)
	}
	for _, t := range c.olderStarts {
		w.log.Info("entry of an older start left out", "target", t.ID)
	}
	if len(c.put) == 0 && len(c.goneIDs) == 0 {
		return
	}
	w.view.Put(c.put, c.goneIDs)
	w.view.Ended(c.endedIDs)
	w.observer.TargetsGone(c.goneIDs)
	for _, t := range c.put {
		w.targetLog.Info(time.Now(), "target", "target", t.ID, "addr", t.Addr, "service", t.Service, "slots", t.Slots, "domain", t.Domain, "draining", t.Draining)
	}
	for _, id := range c.goneIDs {
		w.log.Info("target gone", "target", id, "restarted", slices.Contains(c.endedIDs, id))
	}
}
