package backlog

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// An item waits for a target with the version of its text, while targets of other versions could run it from the
// beginning, for versionWaitFactor times as long as its events would take to produce again, at least for minVersionWait and
// at most for maxVersionWait. A factor of 1 would bound what one item loses, but items that begin again take slots from
// others.
const (
	versionWaitFactor = 4
	minVersionWait    = 4 * time.Second
	maxVersionWait    = 20 * time.Second
)

// versionWait returns how long an item waits for a target with the version of its text, whose events took producing.
func versionWait(producing time.Duration) time.Duration {
	return min(maxVersionWait, max(minVersionWait, versionWaitFactor*producing))
}

// restartedMetric counts the items that were begun again because no target could go on with their text.
const restartedMetric = "item.restarted"

// noteOrigin records the target of the run as the origin of the text if the text is empty. If the entry of the target has
// got another version during the run, the origin of the text is no longer known. Error: errs.StreamBroken if that has
// happened before the first event of a run that goes on with a text; isFirstOfRun is set for that event. The caller holds
// the task's lock.
func (t *task) noteOrigin(r *fleetview.Run, isFirstOfRun bool) error {
	switch hasChanged := r.HasVersionChanged(); {
	case hasChanged && t.lastEventID != "" && isFirstOfRun:
		return errs.New(errs.StreamBroken, "the target has got another version, which may not fit the text of the item")
	case hasChanged:
		t.origin = serving.Origin{}
	case t.lastEventID == "":
		t.origin = serving.Origin{Service: r.Target.Service, Version: r.Target.Version}
	}
	return nil
}

// startScan is one search for a task to start. It keeps what it has found out about services and versions. A conclusion
// holds only for works that ask for the same targets: what one task avoids, or how long it can wait, says nothing of others.
type startScan struct {
	view *fleetview.View
	full map[startClass]bool // no slot is free
	// deferred holds, for works that are not urgent, the least slack with which one was deferred. Less patient ones may start.
	deferred map[startClass]time.Duration
	served   map[serving.Origin]bool
}

// startClass identifies the targets at which a work may start.
type startClass struct {
	service, version string
	isPinned         bool   // version is required
	avoided          string // ids of the targets that are left out, in order; empty if none is
}

func newStartScan(view *fleetview.View) *startScan {
	return &startScan{view: view, full: make(map[startClass]bool), deferred: make(map[startClass]time.Duration), served: make(map[serving.Origin]bool)}
}

// classOf returns the class of a work without regard to what it avoids.
func classOf(w fleet.Work) startClass {
	if w.Version == nil {
		return startClass{service: w.Service}
	}
	return startClass{service: w.Service, version: *w.Version, isPinned: true}
}

// avoidingClassOf returns the class of a work if the targets that it avoids are left out.
func avoidingClassOf(w fleet.Work) startClass {
	class := classOf(w)
	if w.Avoid.IsStrict {
		class.avoided = strings.Join(slices.Sorted(slices.Values(w.Avoid.Targets)), " ")
	}
	return class
}

// isBlocked reports whether the work can't start, because an earlier one could not that had at least as many targets.
func (s *startScan) isBlocked(w fleet.Work) bool {
	return s.isClassBlocked(classOf(w), w) || w.Avoid.IsStrict && s.isClassBlocked(avoidingClassOf(w), w)
}

func (s *startScan) isClassBlocked(class startClass, w fleet.Work) bool {
	slack, isDeferred := s.deferred[class]
	return s.full[class] || isDeferred && !w.IsUrgent && w.StartSlack >= slack
}

// noteNotStarted records that a work could not start.
func (s *startScan) noteNotStarted(w fleet.Work, pick fleet.BatchPick) {
	class := classOf(w)
	if pick.IsAvoiding {
		class = avoidingClassOf(w)
	}
	switch slack, isDeferred := s.deferred[class]; {
	case pick.Deferral == fleet.NotDeferred || w.IsUrgent:
		s.full[class] = true
	case pick.Deferral == fleet.DeferredForOverload:
		s.deferred[class] = 0
	case !isDeferred || w.StartSlack < slack:
		s.deferred[class] = w.StartSlack
	}
}

// isServed reports whether a target of a service and version is in service.
func (s *startScan) isServed(o serving.Origin) bool {
	isServed, ok := s.served[o]
	if !ok {
		isServed = s.view.IsServed(fleet.Work{Service: o.Service, Version: &o.Version})
		s.served[o] = isServed
	}
	return isServed
}

// nextWork returns the work of the task's next run, in the order in which it is to be tried. A task with a text goes on
// with it at the version that began it. It begins again from the start if no target of that version is in service on the
// route, or if it has waited too long for a slot at one; see versionWaitFactor.
func (sc *scheduler) nextWork(t *task, route *serving.Route, now time.Time, scan *startScan) []fleet.Work {
	anyVersion := t.work(route, route.Service(t.item().ID))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastEventID == "" {
		return []fleet.Work{anyVersion}
	}
	if !route.LeadsTo(t.origin.Service) || !scan.isServed(t.origin) {
		return []fleet.Work{anyVersion}
	}
	version := t.origin.Version
	pinned := anyVersion
	pinned.Service, pinned.Version = t.origin.Service, &version
	if t.pinnedSince.IsZero() {
		t.pinnedSince = now
	}
	if now.Sub(t.pinnedSince) < versionWait(sc.m.runTimes.TimeOf(t.job.Route, t.events)) {
		return []fleet.Work{pinned}
	}
	return []fleet.Work{pinned, anyVersion}
}

// dropText makes a task with a text begin again from the start.
func (sc *scheduler) dropText(t *task) {
	t.mu.Lock()
	origin, events := t.origin, t.events
	hasText := t.lastEventID != ""
	t.lastEventID, t.text, t.origin = "", nil, serving.Origin{}
	t.events, t.unsavedEvents = 0, 0
	t.mu.Unlock()
	if !hasText {
		return
	}
	metrics.GetOrRegisterCounter(restartedMetric, sc.m.registry).Inc(1)
	sc.m.runLog.Info(time.Now(), "item restarted", "job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "service", origin.Service, "version", origin.Version, "events", events)
}
