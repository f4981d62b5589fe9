// Package watch reads the operator's configuration and the list of targets from the platform's directory
// repeatedly, and keeps the current state of both. The gateway uses it to find the route of a request and to
// check the key of its caller.
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
	// pollWait is how long a read waits until the configuration or the list has changed. An answer without a
	// change also shows that the store is reachable.
	pollWait = time.Second
	// pollPause is the time between two successful reads. Changes accumulate in it: each read has a cost, and
	// targets write their entries more often than the entries change. A change must be known within two
	// seconds at the latest.
	pollPause = 300 * time.Millisecond
	// retryPause is the time between a failed read and the next one.
	retryPause = 100 * time.Millisecond
	// entryGrace is how long after an outage of the store a target stays on the list although its entry is
	// missing. Entries expire during the outage, and running targets write them again within two seconds of
	// the recovery. This process cannot tell an expired entry from a removed one, and a removed target must
	// receive no requests after two seconds. The grace period is shorter than these two seconds by the delay
	// with which a process may detect the recovery.
	entryGrace = 1500 * time.Millisecond
	// noConfigRetryAfter is the retry delay for a request that arrives before this process has read a
	// configuration.
	noConfigRetryAfter = 300 * time.Millisecond
)

// Watch holds the configuration and the target list as this process has last read them. It is safe for
// concurrent use.
type Watch struct {
	directory platform.Directory
	view      *fleetview.View
	log       hclog.Logger
	// targetLog writes one log line for each changed target, and bounds their rate: many targets can change at
	// once.
	targetLog *logging.Routine

	clock    bootclock.Clock
	quotas   Quotas
	observer TargetObserver
	// revokeWithin bounds how long a revoked key may still be accepted; see Options.RevokeWithin.
	revokeWithin time.Duration

	weights map[string]float64 // see Options.Weights

	mu         sync.RWMutex
	config     *serving.Config
	router     *serving.Router
	workspaces *workspace.Index
	proof      freshness.Proof // when a read last confirmed that config is the newest version
	versions   *versions
	peers      OriginPeers // nil to ask nobody
	// unknownWeights are the workspaces in weights that config does not contain.
	unknownWeights []string
	hasTargets     bool // the target list, or a part of it with at least one target, has been read
}

// Quotas applies the quotas of each configuration that is put in force.
type Quotas interface {
	// SetWorkspaces is called with all workspaces of the new configuration.
	SetWorkspaces(list []workspace.Workspace)
}

// TargetObserver is called when targets leave the target list.
type TargetObserver interface {
	// NoteTargetsGone is called with the ids of the targets that a read has removed from the list.
	NoteTargetsGone(ids []string)
}

// Options are the dependencies and settings of a Watch.
type Options struct {
	Directory platform.Directory // the source of the configuration and of the target list
	View      *fleetview.View    // receives the targets
	Quotas    Quotas             // receives the workspaces of each configuration
	Observer  TargetObserver     // is called when targets leave the list
	// RevokeWithin bounds how long after the revocation of a key a request with this key may still be
	// authorized, also by a process that cannot reach the store; 0 means no bound.
	RevokeWithin time.Duration
	// Weights are the configured weights of workspaces in the division of the capacity, by name.
	Weights map[string]float64
	// TargetLinger is how long targets may still be used after their entry has gone from the list; see OnlyOrigin.
	TargetLinger time.Duration
	// Peers are asked for versions that were on the list before the start of this process; nil to ask nobody.
	Peers OriginPeers
	Clock bootclock.Clock // the time since the start of the host, including suspensions
	Log   hclog.Logger
}

// New returns a Watch without a configuration or targets.
func New(o Options) *Watch {
	return &Watch{directory: o.Directory, view: o.View, quotas: o.Quotas, observer: o.Observer, clock: o.Clock, log: o.Log, targetLog: logging.NewRoutine(o.Log), revokeWithin: o.RevokeWithin, weights: o.Weights, proof: freshness.New(o.RevokeWithin), versions: newVersions(o.TargetLinger), peers: o.Peers}
}

// Run reads the configuration and the target list repeatedly until ctx ends, and then returns nil.
func (w *Watch) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.followConfig(ctx) })
	g.Go(func() error { return w.followTargets(ctx) })
	return g.Wait()
}

// Route returns the route that serves a request for uri at host, and the limits from the configuration. Errors:
// errs.NotFound if no route matches; errs.NoTarget while no configuration is known, since the route may exist.
func (w *Watch) Route(host, uri string) (*serving.Route, serving.Limits, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return nil, serving.Limits{}, errs.New(errs.NoTarget, "no configuration has been read yet").WithRetry(noConfigRetryAfter)
	}
	route := w.router.Match(host, uri)
	if route == nil {
		return nil, serving.Limits{}, errs.Newf(errs.NotFound, "no route for this host and path in version %d of the configuration", w.config.Version)
	}
	return route, w.config.Limits, nil
}

// Limits returns the limits in force for what callers send; the defaults before the first configuration.
func (w *Watch) Limits() serving.Limits {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.config == nil {
		return serving.DefaultLimits
	}
	return w.config.Limits.OrDefault()
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

// IsReady reports whether a configuration and at least a part of the target list have been read. Before that
// this process rejects all requests, while other processes can serve them.
func (w *Watch) IsReady() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.config != nil && w.hasTargets
}

// Age returns how long ago a read last confirmed that the configuration is the newest version. Before the first
// confirmation it returns the time since the start of the host.
func (w *Watch) Age() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	age, _ := w.proof.Age(w.clock())
	return age
}

// readPauses are the pauses after a successful and after a failed read.
var readPauses = dependency.Pauses{Answered: pollPause, Failed: retryPause}

// followConfig reads the configuration repeatedly and applies each new version, until ctx ends.
func (w *Watch) followConfig(ctx context.Context) error {
	var news platform.ConfigNews
	var readStart time.Duration
	link := dependency.NewLink(w.log, "configuration")
	read := func() error {
		readStart = w.clock()
		answer, err := w.directory.Config(ctx, news.Known, link.Patience(w.configWait()))
		if err == nil {
			news = answer
			w.view.RecordStoreContact()
		}
		return err
	}
	link.Follow(ctx, readPauses, read, func(bool) {
		if news.Unusable != nil {
			w.log.Error("configuration can't be read; the version in force is kept", "in_force", w.Version(), "error", news.Unusable)
		}
		w.applyConfig(news.Config)
		if news.IsCurrent {
			w.confirm(readStart)
		}
	})
	return nil
}

// configWaitShare is the share of RevokeWithin that one read of the configuration may wait for a change. A
// confirmation counts from the start of its read, so it is up to two waits and one pause old when the next
// confirmation arrives.
const configWaitShare = 0.1

// configWait returns how long a read of the configuration waits for a change.
func (w *Watch) configWait() time.Duration {
	if w.revokeWithin == 0 {
		return pollWait
	}
	return min(pollWait, time.Duration(configWaitShare*float64(w.revokeWithin)))
}

// confirm records that a read which started at readStart, by w.clock, has shown that the known configuration is
// the newest version.
func (w *Watch) confirm(readStart time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proof.Confirm(readStart)
}

// applyConfig puts a configuration in force; nil changes nothing. A version that is not newer than the one in
// force is ignored: a read may be answered from an earlier state of the store, and a replaced version must not
// take effect again.
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
	w.versions.noteRoutes(time.Now(), c.Routes)
	w.logUnknownWeights(c.Workspaces)
	for _, problem := range append(c.Problems, problems...) {
		w.log.Error("part of the configuration left out", "version", c.Version, "error", problem)
	}
	w.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "keys_required", c.KeysRequired, "workspaces", index.Len(), "workspace_ranks", fmt.Sprint(index.RankCounts()))
}

// followTargets reads the target list repeatedly and applies its changes, until ctx ends.
func (w *Watch) followTargets(ctx context.Context) error {
	var news platform.TargetNews
	list := newTargetList()
	link := dependency.NewLink(w.log, "targets")
	read := func() error {
		wait := link.Patience(min(pollWait, list.timeToGraceEnd(time.Now())))
		answer, err := w.directory.Targets(ctx, news.Known, wait)
		if err == nil {
			news = answer
			w.view.RecordStoreContact()
		}
		return err
	}
	targetPauses := dependency.Pauses{Failed: readPauses.Failed, More: func() time.Duration {
		if news.More {
			return 0 // the read returned a part of a long list, and the next part is available
		}
		return readPauses.Answered
	}}
	link.Follow(ctx, targetPauses, read, func(isBack bool) {
		now := time.Now()
		if isBack {
			list.recordRecovery(now)
		}
		changes := list.update(now, news)
		w.versions.noteTargets(now, news, list.all())
		w.applyTargets(changes)
		w.markTargetsKnown(news.Whole || len(news.Present) > 0)
	})
	return nil
}

// markTargetsKnown records whether the last read has returned enough of the target list to serve requests.
func (w *Watch) markTargetsKnown(isUsable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasTargets = w.hasTargets || isUsable
}

// applyTargets logs the changes of the target list and passes them to the view and the observer.
func (w *Watch) applyTargets(changes targetChanges) {
	for _, e := range changes.unusable {
		w.log.Warn("entry names no target to use", "name", e.Name, "error", e.Err)
	}
	for _, t := range changes.olderStarts {
		w.log.Info("entry of an older start left out", "target", t.ID)
	}
	for _, t := range w.view.ApplyRenewals(changes.renewed) {
		w.log.Info("target restored", "target", t.ID, "addr", t.Addr, "why", "its entry was renewed after another instance had answered")
	}
	if len(changes.put) == 0 && len(changes.goneIDs) == 0 {
		return
	}
	w.view.UpdateTargets(changes.put, changes.goneIDs)
	w.view.EndTargets(changes.endedIDs)
	w.observer.NoteTargetsGone(changes.goneIDs)
	for _, t := range changes.put {
		w.targetLog.Info(time.Now(), "target", "target", t.ID, "addr", t.Addr, "service", t.Service, "slots", t.Slots, "version", t.Version, "domain", t.Domain, "draining", t.IsDraining)
	}
	for _, id := range changes.goneIDs {
		w.log.Info("target gone", "target", id, "restarted", slices.Contains(changes.endedIDs, id))
	}
}
