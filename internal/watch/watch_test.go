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
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
)

// fakeDirectory returns each queued configuration and target list once.
type fakeDirectory struct {
	mu                 sync.Mutex
	isDown             bool
	configs            []*serving.Config
	targets            []platform.TargetNews
	testDelay          time.Duration // time that the test itself has spent waiting
	longPollsWhileDown int           // reads during an outage that would have waited for news
	isStale            bool          // answers come from an older state
	// revokeWithin is the RevokeWithin of the watch; suspendedNanos is how long its host was suspended.
	revokeWithin   time.Duration
	suspendedNanos atomic.Int64
	quotas         fakeQuotas
	goneIDs        []string // targets passed to the observer
}

// TargetsGone implements TargetObserver.
func (d *fakeDirectory) TargetsGone(ids []string) {
	d.update(func(d *fakeDirectory) { d.goneIDs = append(d.goneIDs, ids...) })
}

// fakeQuotas records the workspaces passed to it.
type fakeQuotas struct{ workspaces []workspace.Workspace }

func (q *fakeQuotas) SetWorkspaces(list []workspace.Workspace) { q.workspaces = list }

func (d *fakeDirectory) update(f func(d *fakeDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

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

func (d *fakeDirectory) Targets(ctx context.Context, known uint64, wait time.Duration) (platform.TargetNews, error) {
	var news platform.TargetNews
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

// answer waits for news up to wait, as the store does.
func (d *fakeDirectory) answer(ctx context.Context, wait time.Duration, take func() bool) error {
	for until := time.Now().Add(wait); ; {
		d.mu.Lock()
		isDown, took := d.isDown, !d.isDown && take()
		if isDown && wait > 0 {
			d.longPollsWhileDown++
		}
		d.mu.Unlock()
		switch {
		case isDown:
			return errs.New(errs.LogDown, "down")
		case took || ctx.Err() != nil || !time.Now().Before(until):
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func newConfig(version uint64, prefixes ...string) *serving.Config {
	c := &serving.Config{Version: version}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, serving.Route{Name: p, Host: "h", Prefix: p})
	}
	return c
}

func newTarget(id string) serving.Target {
	return serving.Target{ID: id, Name: id, Service: "s", Slots: 4}
}

// runWatch calls f with a running Watch in a synctest bubble.
func runWatch(t *testing.T, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runWatchWithLog(t, hclog.NewNullLogger(), f)
}

// runWatchWithLog is runWatch with a logger.
func runWatchWithLog(t *testing.T, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runWatchWith(t, &fakeDirectory{}, log, f)
}

// runWatchWith is runWatch with a directory and a logger.
func runWatchWith(t *testing.T, d *fakeDirectory, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		v := fleetview.New(fleet.Options{PeerTTL: time.Second})
		began := time.Now()
		w := New(Options{
			Directory: d, View: v, Quotas: &d.quotas, Observer: d, RevokeWithin: d.revokeWithin, Log: log,
			Clock: func() time.Duration { return time.Since(began) + time.Duration(d.suspendedNanos.Load()) },
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

// Before the first configuration a process cannot decide that a route does not exist, so it must not answer
// with errs.NotFound.
func TestRouteIsNotMissingBeforeFirstConfiguration(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/"); !errs.Is(err, errs.NoTarget) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("before the first configuration: %v", err)
		}
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newConfig(3, "/a/")) })
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/x"); err != nil {
			t.Error(err)
		}
		if _, _, err := w.Route("h", "/b/x"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a route that does not exist: %v", err)
		}
	})
}

// Guards against requests rejected after a start because the process reports ready before any target is
// known.
func TestReadyRequiresTargets(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(2 * time.Second)
		if w.Ready() {
			t.Error("ready without a configuration and targets")
		}
		d.update(func(d *fakeDirectory) {
			d.isDown = false
			d.configs = append(d.configs, newConfig(1, "/a/"))
		})
		// A failed read is repeated after retryPause; the pause below is well above it. The list is not
		// available until the test queues it.
		time.Sleep(5 * retryPause)
		if w.Version() != 1 || w.Ready() {
			t.Errorf("version %d, ready %v before targets are read", w.Version(), w.Ready())
		}
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a")}})
		})
		time.Sleep(time.Second)
		if !w.Ready() {
			t.Error("not ready with a configuration and targets")
		}
	})
}

// Guards against requests rejected after many processes start at once, because no target is used before the
// whole list is read.
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
		if r, ok := v.StartOnline("s", nil); !ok || r.Target.ID != "a" || !w.Ready() {
			t.Errorf("after the first part: target found %v, ready %v", ok, w.Ready())
		}
		d.update(func(d *fakeDirectory) {
			complete := platform.TargetNews{Known: 9, Whole: true, Present: []serving.Target{newTarget("b"), newTarget("c")}}
			d.targets = append(d.targets, newPart("b"), complete)
		})
		time.Sleep(20 * time.Millisecond)
		if listed := v.Targets(); len(listed) != 2 {
			t.Errorf("the complete list has b and c, not a: %v", listed)
		}
	})
}

// Guards against a regression of the configuration: an answer from before the last change is put in force.
func TestConfigurationVersionNeverRegresses(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newConfig(8, "/new/"), newConfig(5, "/old/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 8 {
			t.Errorf("version %d is in force", w.Version())
		}
		if _, _, err := w.Route("h", "/old/"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a route of an older version: %v", err)
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
			t.Errorf("age of the configuration: %v", w.Age())
		}
		d.update(func(d *fakeDirectory) { d.isDown = false; d.configs = append(d.configs, newConfig(2, "/b/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 2 || w.Age() > 2*time.Second {
			t.Errorf("version %d, age %v", w.Version(), w.Age())
		}
	})
}

// Guards against requests rejected after an outage: targets whose entries expired during the outage are
// treated as removed.
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
			t.Errorf("%d targets right after the outage, want 2", n)
		}
		d.update(func(d *fakeDirectory) { d.targets = append(d.targets, platform.TargetNews{Known: 3, Present: all[:1]}) })
		time.Sleep(4 * time.Second)
		if left := v.Targets(); len(left) != 1 || left[0].ID != "lives" {
			t.Errorf("targets after the grace period: %v", left)
		}
	})
}

// Guards against requests sent to a target that has left: a missing entry is checked only when there is
// news.
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
			t.Errorf("removed %s after the store recovered, want within %s", removedAfter, entryGrace+pollPause)
		}
	})
}

// Guards against stale state after a network partition: a read that checks whether the store is reachable
// again waits as long as one that waits for news.
func TestUnreachableStoreIsReadWithoutWaiting(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		time.Sleep(2 * time.Second)
		d.update(func(d *fakeDirectory) { d.isDown, d.longPollsWhileDown = true, 0 })
		time.Sleep(3 * time.Second)
		d.update(func(d *fakeDirectory) {
			// Each of the two readers sends one such read before it detects the outage.
			if d.longPollsWhileDown > 2 {
				t.Errorf("%d reads of the unreachable store would have waited for news", d.longPollsWhileDown)
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
		draining.Draining = true
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Present: []serving.Target{draining}, Gone: []string{"a"}})
		})
		time.Sleep(time.Second)
		left := v.Targets()
		if len(left) != 1 || !left[0].Draining {
			t.Errorf("targets %v", left)
		}
		if _, ok := v.StartOnline("s", nil); ok {
			t.Error("a draining target received a request")
		}
	})
}

// newStart returns the n-th start of a target.
func newStart(name string, n int64) serving.Target {
	t := newTarget(name)
	t.ID, t.Started = fmt.Sprintf("%s/%d", name, n), n
	return t
}

// targetIDs returns the sorted ids of the targets on the list.
func targetIDs(v *fleetview.View) string {
	var list []string
	for _, t := range v.Targets() {
		list = append(list, t.ID)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// Guards against a stalled stream: the new start of a target is treated as the previous one, so that runs
// of the previous start never end.
func TestNewStartEndsPreviousStart(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		publish := func(news platform.TargetNews) {
			d.update(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		publish(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newStart("a", 1), newStart("b", 1)}})
		var mu sync.Mutex
		ended := make(map[string]int)
		for range 2 {
			r, ok := v.StartOnline("s", nil)
			if !ok {
				t.Fatal("no target")
			}
			r.WhenEnded(func() {
				mu.Lock()
				defer mu.Unlock()
				ended[r.Target.ID]++
			})
			defer r.Done()
		}
		publish(platform.TargetNews{Known: 2, Present: []serving.Target{newStart("a", 2)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets %s", got)
		}
		mu.Lock()
		if ended["a/1"] != 1 || ended["b/1"] != 0 {
			t.Errorf("runs notified that the start of their target is over: %v", ended)
		}
		mu.Unlock()
		if _, ok := v.Report().Loads["a/2"]; ok {
			t.Error("the new start has the load of the previous one")
		}
		publish(platform.TargetNews{Known: 3, Present: []serving.Target{newStart("a", 1)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets after an entry of an older start: %s", got)
		}
		publish(platform.TargetNews{Known: 4, Gone: []string{"a"}})
		publish(platform.TargetNews{Known: 5, Present: []serving.Target{newStart("a", 1)}})
		if got := targetIDs(v); got != "b/1" {
			t.Errorf("targets after an entry of an older start, with the last start removed: %s", got)
		}
		publish(platform.TargetNews{Known: 6, Whole: true, Present: []serving.Target{newStart("a", 2), newStart("b", 1)}})
		if got := targetIDs(v); got != "a/2 b/1" {
			t.Errorf("targets after the entry of the last start is written again: %s", got)
		}
	})
}

// Guards against misrouting: requests go to a target whose entry another writer has overwritten.
func TestUnusableEntryRemovesTarget(t *testing.T) {
	logBuffer := &lockedBuffer{}
	runWatchWithLog(t, hclog.New(&hclog.LoggerOptions{Output: logBuffer}), func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		publish := func(news platform.TargetNews) {
			d.update(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		unusable := []platform.UnusableEntry{{Name: "a", Err: errs.New(errs.BadRequest, "no text")}}
		publish(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{newTarget("a"), newTarget("b")}})
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = false })
		// Right after an outage a missing entry may have expired; one that is present but unusable has not.
		publish(platform.TargetNews{Known: 2, Unusable: unusable})
		if got := targetIDs(v); got != "b" {
			t.Errorf("targets %s", got)
		}
		publish(platform.TargetNews{Known: 3, Whole: true, Present: []serving.Target{newTarget("b")}, Unusable: unusable})
		publish(platform.TargetNews{Known: 4, Unusable: unusable})
		if n := strings.Count(logBuffer.String(), "names no target"); n != 1 {
			t.Errorf("%d log lines for one change", n)
		}
		publish(platform.TargetNews{Known: 5, Present: []serving.Target{newTarget("a")}})
		if got := targetIDs(v); got != "a b" {
			t.Errorf("targets after a usable entry: %s", got)
		}
		publish(platform.TargetNews{Known: 6, Unusable: unusable})
		if n := strings.Count(logBuffer.String(), "names no target"); n != 2 {
			t.Errorf("%d log lines for two changes", n)
		}
	})
}

// Names of removed targets must not exhaust the memory of a process that runs for years.
func TestRemovedNamesAreBounded(t *testing.T) {
	l := newTargetList()
	for i := range 3 * maxRemovedNames {
		name := fmt.Sprint(i)
		l.update(time.Time{}, platform.TargetNews{Present: []serving.Target{newStart(name, 1)}})
		l.update(time.Time{}, platform.TargetNews{Gone: []string{name}})
	}
	if len(l.lastStart) > maxRemovedNames {
		t.Errorf("%d starts are kept", len(l.lastStart))
	}
}

// lockedBuffer is a log output that can be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
