package backlog

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// An item waits for a target with the version of its text, while targets of other versions could run it from the
// beginning, for versionWaitFactor times as long as its events would take to produce again, and at least for
// minVersionWait. A factor of 1 would bound what one item loses, but items that begin again take slots from others.
const (
	versionWaitFactor = 4
	minVersionWait    = 4 * time.Second
)

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

// startScan is one search for a task to start. It keeps what it has found out about services and versions.
type startScan struct {
	view     *fleetview.View
	full     map[startClass]bool // no slot is free
	deferred map[startClass]bool // only urgent items may start
	served   map[serving.Origin]bool
}

// startClass is what decides, beside the task itself, whether a work can start.
type startClass struct {
	service, version string
	isPinned         bool // version is required
}

func newStartScan(view *fleetview.View) *startScan {
	return &startScan{view: view, full: make(map[startClass]bool), deferred: make(map[startClass]bool), served: make(map[serving.Origin]bool)}
}

func classOf(w fleet.Work) startClass {
	if w.Version == nil {
		return startClass{service: w.Service}
	}
	return startClass{service: w.Service, version: *w.Version, isPinned: true}
}

// isBlocked reports whether the work can't start, because an earlier task of its class could not.
func (s *startScan) isBlocked(w fleet.Work) bool {
	class := classOf(w)
	return s.full[class] || s.deferred[class] && !w.IsUrgent
}

// noteNotStarted records that a work of a class could not start.
func (s *startScan) noteNotStarted(w fleet.Work, pick fleet.BatchPick) {
	if pick.Deferral == fleet.NotDeferred || w.IsUrgent {
		s.full[classOf(w)] = true
		return
	}
	s.deferred[classOf(w)] = true
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
	if now.Sub(t.pinnedSince) < max(minVersionWait, versionWaitFactor*sc.m.runTimes.TimeOf(t.job.Route, t.events)) {
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
