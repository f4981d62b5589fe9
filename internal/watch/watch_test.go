package watch

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/origin"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
)

// fakeDirectory is a platform.Directory that returns each queued configuration and target list once. It is also
// the observer of the watch, and holds its quotas.
type fakeDirectory struct {
	mu                 sync.Mutex
	isDown             bool                  // reads fail
	configs            []*serving.Config     // queued answers of Config
	targets            []platform.TargetNews // queued answers of Targets
	testDelay          time.Duration         // time that the test itself has spent waiting
	longPollsWhileDown int                   // reads with a wait during an outage
	isStale            bool                  // answers come from an older state of the store
	// revokeWithin is the RevokeWithin of the watch; suspendedNanos is how long its host was suspended.
	revokeWithin   time.Duration
	suspendedNanos atomic.Int64
	quotas         fakeQuotas
	peerOrigin     serving.Origin // answer of AskOnly; the zero value stands for none
	peerAge        time.Duration
	goneIDs        []string // ids passed to NoteTargetsGone
}

// NoteTargetsGone implements TargetObserver.
func (d *fakeDirectory) NoteTargetsGone(ids []string) {
	d.update(func(d *fakeDirectory) { d.goneIDs = append(d.goneIDs, ids...) })
}

// fakeQuotas records the workspaces of the last call of SetWorkspaces.
type fakeQuotas struct{ workspaces []workspace.Workspace }

// SetWorkspaces implements Quotas.
func (q *fakeQuotas) SetWorkspaces(list []workspace.Workspace) { q.workspaces = list }

// update calls f while it holds d.mu.
func (d *fakeDirectory) update(f func(d *fakeDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// Config implements platform.Directory.
func (d *fakeDirectory) Config(ctx context.Context, known uint64, wait time.Duration) (platform.ConfigNews, error) {
	var news platform.ConfigNews
	err := d.answer(ctx, wait, func() bool {
		news.IsCurrent = !d.isStale
		if len(d.configs) == 0 {
			return false
		}
		news = platform.ConfigNews{Known: known + 1, Config: d.configs[0], IsCurrent: !d.isStale}
		d.configs = d.configs[1:]
		return true
	})
	return news, err
}

// Targets implements platform.Directory.
func (d *fakeDirectory) Targets(ctx context.Context, known uint64, wait time.Duration) (platform.TargetNews, error) {
	news := platform.TargetNews{Known: known}
	err := d.answer(ctx, wait, func() bool {
		if len(d.targets) == 0 {
			return false
		}
		news = d.targets[0]
		d.targets = d.targets[1:]
		return true
	})
	return news, err
}

// NewTargets implements platform.Directory. It returns the queued targets and leaves them queued.
func (d *fakeDirectory) NewTargets(context.Context, uint64) ([]serving.Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return nil, errs.New(errs.LogDown, "down")
	}
	var targets []serving.Target
	for _, news := range d.targets {
		targets = append(targets, news.Present...)
	}
	return targets, nil
}

// answer returns once takeNews has returned true, which takes a queued answer, or once wait has passed. It
// returns an error at once while the store is down.
func (d *fakeDirectory) answer(ctx context.Context, wait time.Duration, takeNews func() bool) error {
	for until := time.Now().Add(wait); ; {
		d.mu.Lock()
		isDown, hasNews := d.isDown, !d.isDown && takeNews()
		if isDown && wait > 0 {
			d.longPollsWhileDown++
		}
		d.mu.Unlock()
		switch {
		case isDown:
			return errs.New(errs.LogDown, "down")
		case hasNews || ctx.Err() != nil || !time.Now().Before(until):
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// testLinger is the TargetLinger of the watch.
const testLinger = 50 * time.Second

// AskOnly implements OriginPeers.
func (d *fakeDirectory) AskOnly(context.Context, origin.RouteID) (o serving.Origin, age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peerOrigin, d.peerAge, d.peerOrigin != serving.Origin{}
}

// newConfig returns a configuration with one route of host "h" for each path prefix.
func newConfig(version uint64, prefixes ...string) *serving.Config {
	config := &serving.Config{Version: version}
	for _, prefix := range prefixes {
		config.Routes = append(config.Routes, serving.Route{Name: prefix, Host: "h", Prefix: prefix})
	}
	return config
}

// newTarget returns a target of service "s" with 4 slots, whose name is its id.
func newTarget(id string) serving.Target {
	return serving.Target{ID: id, Name: id, Service: "s", Slots: 4}
}

// runWatch calls f in a synctest bubble, with a running Watch, its directory and its view. The Watch has no
// configuration and no targets at first.
func runWatch(t *testing.T, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runWatchWithLog(t, hclog.NewNullLogger(), f)
}

// runWatchWithLog is runWatch with the logger that the Watch uses.
func runWatchWithLog(t *testing.T, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runWatchWith(t, &fakeDirectory{}, log, f)
}

// runWatchWith is runWatch with the directory and the logger that the Watch uses.
func runWatchWith(t *testing.T, d *fakeDirectory, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		v := fleetview.New(fleet.Options{PeerTTL: time.Second})
		startedAt := time.Now()
		w := New(Options{
			Directory: d, View: v, Quotas: &d.quotas, Observer: d, RevokeWithin: d.revokeWithin, TargetLinger: testLinger, Peers: d, Log: log,
			Clock: func() time.Duration { return time.Since(startedAt) + time.Duration(d.suspendedNanos.Load()) },
		})
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		f(d, w, v)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Before it has read a configuration, a process cannot decide that a route does not exist, so it must not
// return errs.NotFound.
func TestRouteIsNotMissingBeforeFirstConfiguration(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/"); !errs.Is(err, errs.NoTarget) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("route before the first configuration: error %v, want errs.NoTarget with a retry delay", err)
		}
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newConfig(3, "/a/")) })
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/x"); err != nil {
			t.Error(err)
		}
		if _, _, err := w.Route("h", "/b/x"); !errs.Is(err, errs.NotFound) {
			t.Errorf("route that does not exist: error %v, want errs.NotFound", err)
		}
	})
}

// Guards against rejected requests after a start: the process reports that it is ready before it has read any
// target, and so receives requests that it cannot serve.
func TestReadyRequiresTargets(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(2 * time.Second)
		if w.IsReady() {
			t.Error("IsReady is true before a configuration and targets are read, want false")
		}
		d.update(func(d *fakeDirectory) {
			d.isDown = false
			d.configs = append(d.configs, newConfig(1, "/a/"))
		})
		// A failed read is repeated after retryPause, so the configuration is read within 5 of them. The fake
		// directory has no target list yet.
		time.Sleep(5 * retryPause)
		if w.Version() != 1 || w.IsReady() {
			t.Errorf("before targets are read: version %d, ready %v, want version 1, ready false", w.Version(), w.IsReady())
		}
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a")}})
		})
		time.Sleep(time.Second)
		if !w.IsReady() {
			t.Error("IsReady is false after a configuration and targets are read, want true")
		}
	})
}

// Guards against rejected requests after many processes start at once: reads of the target list then take long,
// and a process that waits for the whole list uses none of the targets it has already read.
func TestPartialTargetListIsUsedAtOnce(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		newPart := func(id string) platform.TargetNews {
			return platform.TargetNews{More: true, Present: []serving.Target{newTarget(id)}}
		}
		d.update(func(d *fakeDirectory) {
			d.configs = append(d.configs, newConfig(1, "/a/"))
			d.targets = append(d.targets, newPart("a"))
		})
		time.Sleep(20 * time.Millisecond)
		if r, ok := v.StartOnline(fleet.Work{Service: "s"}, nil); !ok || r.Target.ID != "a" || !w.IsReady() {
			t.Errorf("after the first part of the list: target found %v, ready %v, want target a and ready true", ok, w.IsReady())
		}
		d.update(func(d *fakeDirectory) {
			complete := platform.TargetNews{Known: 9, Whole: true, Present: []serving.Target{newTarget("b"), newTarget("c")}}
			d.targets = append(d.targets, newPart("b"), complete)
		})
		time.Sleep(20 * time.Millisecond)
		if remaining := v.Targets(); len(remaining) != 2 {
			t.Errorf("targets after the complete list: %v, want b and c", remaining)
		}
	})
}

// Guards against a regression of the configuration: an answer from an earlier state of the store puts an older
// version in force.
func TestConfigurationVersionNeverRegresses(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newConfig(8, "/new/"), newConfig(5, "/old/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 8 {
			t.Errorf("version %d is in force after versions 8 and 5 were read, want 8", w.Version())
		}
		if _, _, err := w.Route("h", "/old/"); !errs.Is(err, errs.NotFound) {
			t.Errorf("route of the older version: error %v, want errs.NotFound", err)
		}
	})
}

func TestConfigurationStaysInForceDuringStoreOutage(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newConfig(1, "/a/")) })
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(time.Minute)
		if _, _, err := w.Route("h", "/a/"); err != nil {
			t.Error(err)
		}
		if w.Age() < 50*time.Second {
			t.Errorf("age of the configuration after 1 min of outage: %v, want at least 50 s", w.Age())
		}
		d.update(func(d *fakeDirectory) { d.isDown = false; d.configs = append(d.configs, newConfig(2, "/b/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 2 || w.Age() > 2*time.Second {
			t.Errorf("after the outage: version %d, age %v, want version 2, age at most 2 s", w.Version(), w.Age())
		}
	})
}

// Guards against rejected requests after an outage of the store: targets whose entries expired during the
// outage are treated as removed, although they still run.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		all := []serving.Target{newTarget("lives"), newTarget("gone")}
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: all})
		})
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(5 * time.Second)
		d.update(func(d *fakeDirectory) {
			d.isDown = false
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Whole: true})
		})
		time.Sleep(time.Second)
		if n := len(v.Targets()); n != 2 {
			t.Errorf("%d targets on the list right after the outage, want 2: lives and gone", n)
		}
		d.update(func(d *fakeDirectory) { d.targets = append(d.targets, platform.TargetNews{Known: 3, Present: all[:1]}) })
		time.Sleep(4 * time.Second)
		if remaining := v.Targets(); len(remaining) != 1 || remaining[0].ID != "lives" {
			t.Errorf("targets after the grace period: %v, want only lives", remaining)
		}
	})
}

// Guards against requests sent to a target that has left during an outage: its grace period ends while a read
// waits for a change, and the target is removed only when that read returns.
func TestTargetIsRemovedAfterGraceWithoutNews(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a")}})
		})
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(5 * time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = false })
		time.Sleep(1100 * time.Millisecond)
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Gone: []string{"a"}})
		})
		for time.Sleep(100 * time.Millisecond); len(v.Targets()) > 0; time.Sleep(10 * time.Millisecond) {
			d.update(func(d *fakeDirectory) { d.testDelay += 10 * time.Millisecond })
		}
		if removedAfter := 1200*time.Millisecond + d.testDelay; removedAfter > entryGrace+pollPause {
			t.Errorf("target removed %s after the store recovered, want within %s", removedAfter, entryGrace+pollPause)
		}
	})
}

// Guards against stale state after a network partition: a read that checks whether the store is reachable again
// must return at once instead of waiting for a change.
func TestUnreachableStoreIsReadWithoutWaiting(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		time.Sleep(2 * time.Second)
		d.update(func(d *fakeDirectory) { d.isDown, d.longPollsWhileDown = true, 0 })
		time.Sleep(3 * time.Second)
		d.update(func(d *fakeDirectory) {
			// The reads of the configuration and of the targets each wait once before the outage is detected.
			if d.longPollsWhileDown > 2 {
				t.Errorf("%d reads with a wait were sent while the store was unreachable, want at most 2", d.longPollsWhileDown)
			}
		})
	})
}

func TestLeavingTargetIsRemovedAtOnce(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a"), newTarget("b")}})
		})
		time.Sleep(time.Second)
		draining := newTarget("b")
		draining.IsDraining = true
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Present: []serving.Target{draining}, Gone: []string{"a"}})
		})
		time.Sleep(time.Second)
		remaining := v.Targets()
		if len(remaining) != 1 || !remaining[0].IsDraining {
			t.Errorf("targets %v after a has left and b has started to drain, want only b with IsDraining true", remaining)
		}
		if _, ok := v.StartOnline(fleet.Work{Service: "s"}, nil); ok {
			t.Error("an online request was sent to a draining target")
		}
	})
}

// newStart returns the target with this name as of its n-th start. Each start has an id of its own.
func newStart(name string, n int64) serving.Target {
	t := newTarget(name)
	t.ID, t.StartedMs = fmt.Sprintf("%s/%d", name, n), n
	return t
}

// targetIDs returns the sorted ids of the targets in the view, separated by spaces.
func targetIDs(v *fleetview.View) string {
	var ids []string
	for _, t := range v.Targets() {
		ids = append(ids, t.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// Guards against a stalled stream: a restarted target is treated as the same target, so that the runs which it
// lost in the restart never end.
func TestNewStartEndsPreviousStart(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		publish := func(news platform.TargetNews) {
			d.update(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		publish(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newStart("a", 1), newStart("b", 1)}})
		var mu sync.Mutex
		endCalls := make(map[string]int) // calls of the function for the end of the target, by target id
		for range 2 {
			r, ok := v.StartOnline(fleet.Work{Service: "s"}, nil)
			if !ok {
				t.Fatal("no target for an online request")
			}
			r.OnTargetEnd(func() {
				mu.Lock()
				defer mu.Unlock()
				endCalls[r.Target.ID]++
			})
			defer r.Done()
		}
		publish(platform.TargetNews{Known: 2, Present: []serving.Target{newStart("a", 2)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets %s after a has restarted, want a/2 b/1", got)
		}
		mu.Lock()
		if endCalls["a/1"] != 1 || endCalls["b/1"] != 0 {
			t.Errorf("calls of the functions for the end of a target, by target: %v, want 1 for a/1 and none for b/1", endCalls)
		}
		mu.Unlock()
		if _, ok := v.Report().Loads["a/2"]; ok {
			t.Error("the restarted target a/2 has the load of a/1, want no load")
		}
		publish(platform.TargetNews{Known: 3, Present: []serving.Target{newStart("a", 1)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets after an entry of an older start: %s, want a/2 b/1", got)
		}
		publish(platform.TargetNews{Known: 4, Gone: []string{"a"}})
		publish(platform.TargetNews{Known: 5, Present: []serving.Target{newStart("a", 1)}})
		if got := targetIDs(v); got != "b/1" {
			t.Errorf("targets after an entry of an older start, with the last start removed: %s, want b/1", got)
		}
		publish(platform.TargetNews{Known: 6, Whole: true, Present: []serving.Target{newStart("a", 2), newStart("b", 1)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets after the entry of the last start is written again: %s, want a/2 b/1", got)
		}
	})
}

// Guards against misrouting: requests are sent to a target although its entry has been overwritten with text
// that describes no valid target.
func TestUnusableEntryRemovesTarget(t *testing.T) {
	logBuffer := &lockedBuffer{}
	runWatchWithLog(t, hclog.New(&hclog.LoggerOptions{Output: logBuffer}), func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		publish := func(news platform.TargetNews) {
			d.update(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		unusable := []platform.UnusableEntry{{Name: "a", Err: errs.New(errs.BadRequest, "entry is empty")}}
		publish(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a"), newTarget("b")}})
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = false })
		// Right after an outage a missing entry may have expired; one that is present but unusable has not.
		publish(platform.TargetNews{Known: 2, Unusable: unusable})
		if got := targetIDs(v); got != "b" {
			t.Errorf("targets %s after the entry of a became unusable, want b", got)
		}
		publish(platform.TargetNews{Known: 3, Whole: true, Present: []serving.Target{newTarget("b")}, Unusable: unusable})
		publish(platform.TargetNews{Known: 4, Unusable: unusable})
		if n := strings.Count(logBuffer.String(), "names no target"); n != 1 {
			t.Errorf("%d log lines after the entry became unusable once, want 1", n)
		}
		publish(platform.TargetNews{Known: 5, Present: []serving.Target{newTarget("a")}})
		if got := targetIDs(v); got != "a b" {
			t.Errorf("targets after the entry of a is usable again: %s, want a b", got)
		}
		publish(platform.TargetNews{Known: 6, Unusable: unusable})
		if n := strings.Count(logBuffer.String(), "names no target"); n != 2 {
			t.Errorf("%d log lines after the entry became unusable twice, want 2", n)
		}
	})
}

// Guards against a memory leak in a process that runs for years: the names of removed targets accumulate.
func TestRemovedNamesAreBounded(t *testing.T) {
	l := newTargetList()
	for i := range 3 * maxRemovedNames {
		name := fmt.Sprint(i)
		l.update(time.Time{}, platform.TargetNews{Present: []serving.Target{newStart(name, 1)}})
		l.update(time.Time{}, platform.TargetNews{Gone: []string{name}})
	}
	if len(l.lastStart) > maxRemovedNames {
		t.Errorf("%d starts of removed targets are stored, want at most maxRemovedNames", len(l.lastStart))
	}
}

// lockedBuffer is a log output that can be read while a logger writes to it. It implements io.Writer and
// fmt.Stringer.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends p to the buffer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns all bytes written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
