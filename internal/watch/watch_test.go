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

// fakeDirectory answers what it is told to, once for each change.
type fakeDirectory struct {
	mu      sync.Mutex
	down    bool
	configs []*serving.Config
	targets []platform.TargetNews
	waited  time.Duration // by a test
	patient int           // questions while down that would wait for news
	stale   bool          // answers come from an older state
	// revokeWithin is the bound of the watch, suspended how long its host was suspended, in nanoseconds.
	revokeWithin time.Duration
	suspended    atomic.Int64
	quotas       fakeQuotas
	gone         []string // targets of which the observer was told
}

// TargetsGone implements TargetObserver.
func (d *fakeDirectory) TargetsGone(ids []string) {
	d.set(func(d *fakeDirectory) { d.gone = append(d.gone, ids...) })
}

// fakeQuotas keeps what it is told.
type fakeQuotas struct{ workspaces []workspace.Workspace }

func (q *fakeQuotas) SetWorkspaces(list []workspace.Workspace) { q.workspaces = list }

func (d *fakeDirectory) set(f func(d *fakeDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

func (d *fakeDirectory) Config(ctx context.Context, known uint64, wait time.Duration) (platform.ConfigNews, error) {
	var news platform.ConfigNews
	err := d.answer(ctx, wait, func() bool {
		news.IsCurrent = !d.stale
		if len(d.configs) == 0 {
			return false
		}
		news = platform.ConfigNews{Known: known + 1, Config: d.configs[0], IsCurrent: !d.stale}
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

// answer waits like the store does.
func (d *fakeDirectory) answer(ctx context.Context, wait time.Duration, take func() bool) error {
	for until := time.Now().Add(wait); ; {
		d.mu.Lock()
		down, took := d.down, !d.down && take()
		if down && wait > 0 {
			d.patient++
		}
		d.mu.Unlock()
		switch {
		case down:
			return errs.New(errs.LogDown, "down")
		case took || ctx.Err() != nil || !time.Now().Before(until):
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func config(version uint64, prefixes ...string) *serving.Config {
	c := &serving.Config{Version: version}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, serving.Route{Name: p, Host: "h", Prefix: p})
	}
	return c
}

func target(id string) serving.Target {
	return serving.Target{ID: id, Name: id, Service: "s", Slots: 4}
}

func run(t *testing.T, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runLogging(t, hclog.NewNullLogger(), f)
}

// runLogging is run with a logger.
func runLogging(t *testing.T, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	runWith(t, &fakeDirectory{}, log, f)
}

// runWith is run with a directory and a logger.
func runWith(t *testing.T, d *fakeDirectory, log hclog.Logger, f func(d *fakeDirectory, w *Watch, v *fleetview.View)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		v := fleetview.New(fleet.Options{PeerTTL: time.Second})
		began := time.Now()
		w := New(Options{
			Directory: d, View: v, Quotas: &d.quotas, Observer: d, RevokeWithin: d.revokeWithin, Log: log,
			Clock: func() time.Duration { return time.Since(began) + time.Duration(d.suspended.Load()) },
		})
		over := make(chan error)
		go func() { over <- w.Run(ctx) }()
		f(d, w, v)
		cancel()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
}

// A process that has just started knows no routes: that a route is missing is not known either.
func TestWithoutAConfigurationNothingIsMissing(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/"); !errs.Is(err, errs.NoTarget) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("before the first configuration: %v", err)
		}
		d.set(func(d *fakeDirectory) { d.configs = append(d.configs, config(3, "/a/")) })
		time.Sleep(time.Second)
		if _, _, err := w.Route("h", "/a/x"); err != nil {
			t.Error(err)
		}
		if _, _, err := w.Route("h", "/b/x"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a route that is not there: %v", err)
		}
	})
}

// Refusals after a start: a process is ready before it knows any target.
func TestReadyNeedsTheTargets(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(2 * time.Second)
		if w.Ready() {
			t.Error("ready without anything")
		}
		d.set(func(d *fakeDirectory) {
			d.down = false
			d.configs = append(d.configs, config(1, "/a/"))
		})
		// A read that fails is tried again after retryPause; this is well after it, and the list is
		// not there as long as nothing is said about it.
		time.Sleep(5 * retryPause)
		if w.Version() != 1 || w.Ready() {
			t.Errorf("version %d, ready %v before the targets are read", w.Version(), w.Ready())
		}
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{target("a")}})
		})
		time.Sleep(time.Second)
		if !w.Ready() {
			t.Error("not ready with both")
		}
	})
}

// Refusals after a start of many: no target is used before the whole list is there.
func TestAPartOfTheListIsUsedAtOnce(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		part := func(id string) platform.TargetNews {
			return platform.TargetNews{More: true, Present: []serving.Target{target(id)}}
		}
		d.set(func(d *fakeDirectory) {
			d.configs = append(d.configs, config(1, "/a/"))
			d.targets = append(d.targets, part("a"))
		})
		time.Sleep(20 * time.Millisecond)
		if r, ok := v.StartOnline("s", nil); !ok || r.Target.ID != "a" || !w.Ready() {
			t.Errorf("with the first part: a target %v, ready %v", ok, w.Ready())
		}
		d.set(func(d *fakeDirectory) {
			whole := platform.TargetNews{Known: 9, Whole: true, Present: []serving.Target{target("b"), target("c")}}
			d.targets = append(d.targets, part("b"), whole)
		})
		time.Sleep(20 * time.Millisecond)
		if listed := v.Targets(); len(listed) != 2 {
			t.Errorf("of a, b and c the whole list has b and c: %v", listed)
		}
	})
}

// A regression of the configuration: an answer from before the last change is put in force.
func TestAVersionNeverGoesBack(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.set(func(d *fakeDirectory) { d.configs = append(d.configs, config(8, "/new/"), config(5, "/old/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 8 {
			t.Errorf("version %d is in force", w.Version())
		}
		if _, _, err := w.Route("h", "/old/"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a route of an older version: %v", err)
		}
	})
}

func TestTheConfigurationOutlivesTheStore(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		d.set(func(d *fakeDirectory) { d.configs = append(d.configs, config(1, "/a/")) })
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(time.Minute)
		if _, _, err := w.Route("h", "/a/"); err != nil {
			t.Error(err)
		}
		if w.Age() < 50*time.Second {
			t.Errorf("the configuration is said to be %v old", w.Age())
		}
		d.set(func(d *fakeDirectory) { d.down = false; d.configs = append(d.configs, config(2, "/b/")) })
		time.Sleep(2 * time.Second)
		if w.Version() != 2 || w.Age() > 2*time.Second {
			t.Errorf("version %d, %v old", w.Version(), w.Age())
		}
	})
}

// Refusals after an outage: entries that lapsed meanwhile are taken for targets that are gone.
func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		all := []serving.Target{target("lives"), target("gone")}
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: all})
		})
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(5 * time.Second)
		d.set(func(d *fakeDirectory) {
			d.down = false
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Whole: true})
		})
		time.Sleep(time.Second)
		if n := len(v.Targets()); n != 2 {
			t.Errorf("%d targets right after the outage, want both", n)
		}
		d.set(func(d *fakeDirectory) { d.targets = append(d.targets, platform.TargetNews{Known: 3, Present: all[:1]}) })
		time.Sleep(4 * time.Second)
		if left := v.Targets(); len(left) != 1 || left[0].ID != "lives" {
			t.Errorf("targets later on: %v", left)
		}
	})
}

// Requests to a target that has left: a missing entry is looked at only when there are news.
func TestALapsedTargetIsGoneInTimeWithoutNews(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{target("a")}})
		})
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(5 * time.Second)
		d.set(func(d *fakeDirectory) { d.down = false })
		time.Sleep(1100 * time.Millisecond)
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Gone: []string{"a"}})
		})
		for time.Sleep(100 * time.Millisecond); len(v.Targets()) > 0; time.Sleep(10 * time.Millisecond) {
			d.set(func(d *fakeDirectory) { d.waited += 10 * time.Millisecond })
		}
		if left := 1200*time.Millisecond + d.waited; left > lapseGrace+pollPause {
			t.Errorf("gone %s after the store's return, want within %s", left, lapseGrace+pollPause)
		}
	})
}

// Stale state after a cut: the question that tests whether the store is back waits as long as one for news.
func TestALostStoreIsAskedWithoutPatience(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		time.Sleep(2 * time.Second)
		d.set(func(d *fakeDirectory) { d.down, d.patient = true, 0 })
		time.Sleep(3 * time.Second)
		d.set(func(d *fakeDirectory) {
			// Each of the two readers asks once before it knows.
			if d.patient > 2 {
				t.Errorf("%d questions to the lost store would have waited for news", d.patient)
			}
		})
	})
}

func TestATargetThatLeavesIsGoneAtOnce(t *testing.T) {
	run(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{target("a"), target("b")}})
		})
		time.Sleep(time.Second)
		drains := target("b")
		drains.Draining = true
		d.set(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 2, Present: []serving.Target{drains}, Gone: []string{"a"}})
		})
		time.Sleep(time.Second)
		left := v.Targets()
		if len(left) != 1 || !left[0].Draining {
			t.Errorf("targets %v", left)
		}
		if _, ok := v.StartOnline("s", nil); ok {
			t.Error("a draining target got a request")
		}
	})
}

// startOf is the n-th start of a target.
func startOf(name string, n int64) serving.Target {
	t := target(name)
	t.ID, t.Started = fmt.Sprintf("%s/%d", name, n), n
	return t
}

// ids of the targets that may be used.
func ids(v *fleetview.View) string {
	var list []string
	for _, t := range v.Targets() {
		list = append(list, t.ID)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// A stalled stream: the next start of a target is taken for the one before.
func TestANewStartEndsTheOneBefore(t *testing.T) {
	run(t, func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		say := func(news platform.TargetNews) {
			d.set(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		say(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{startOf("a", 1), startOf("b", 1)}})
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
		say(platform.TargetNews{Known: 2, Present: []serving.Target{startOf("a", 2)}})
		if got := ids(v); got != "a/2 b/1" {
			t.Errorf("targets %s", got)
		}
		mu.Lock()
		if ended["a/1"] != 1 || ended["b/1"] != 0 {
			t.Errorf("runs that were told that their target's start is over: %v", ended)
		}
		mu.Unlock()
		if _, ok := v.Report().Loads["a/2"]; ok {
			t.Error("the new start has the load of the one before")
		}
		say(platform.TargetNews{Known: 3, Present: []serving.Target{startOf("a", 1)}})
		if got := ids(v); got != "a/2 b/1" {
			t.Errorf("targets after an older start's entry: %s", got)
		}
		say(platform.TargetNews{Known: 4, Gone: []string{"a"}})
		say(platform.TargetNews{Known: 5, Present: []serving.Target{startOf("a", 1)}})
		if got := ids(v); got != "b/1" {
			t.Errorf("an older start's entry after the last start has gone: %s", got)
		}
		say(platform.TargetNews{Known: 6, Whole: true, Present: []serving.Target{startOf("a", 2), startOf("b", 1)}})
		if got := ids(v); got != "a/2 b/1" {
			t.Errorf("targets after the same start's entry is back: %s", got)
		}
	})
}

// Misrouting: requests go to a target whose entry another writer has overwritten.
func TestAnUnusableEntryTakesItsTargetOff(t *testing.T) {
	lines := &lockedBuffer{}
	runLogging(t, hclog.New(&hclog.LoggerOptions{Output: lines}), func(d *fakeDirectory, _ *Watch, v *fleetview.View) {
		say := func(news platform.TargetNews) {
			d.set(func(d *fakeDirectory) { d.targets = append(d.targets, news) })
			time.Sleep(time.Second)
		}
		bad := []platform.UnusableEntry{{Name: "a", Err: errs.New(errs.BadRequest, "no text")}}
		say(platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{target("a"), target("b")}})
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = false })
		// Right after an outage a missing entry may have lapsed; one that is there and unusable has not.
		say(platform.TargetNews{Known: 2, Unusable: bad})
		if got := ids(v); got != "b" {
			t.Errorf("targets %s", got)
		}
		say(platform.TargetNews{Known: 3, Whole: true, Present: []serving.Target{target("b")}, Unusable: bad})
		say(platform.TargetNews{Known: 4, Unusable: bad})
		if n := strings.Count(lines.String(), "names no target"); n != 1 {
			t.Errorf("%d lines for one change", n)
		}
		say(platform.TargetNews{Known: 5, Present: []serving.Target{target("a")}})
		if got := ids(v); got != "a b" {
			t.Errorf("targets after a good entry: %s", got)
		}
		say(platform.TargetNews{Known: 6, Unusable: bad})
		if n := strings.Count(lines.String(), "names no target"); n != 2 {
			t.Errorf("%d lines for two changes", n)
		}
	})
}

// Names that have gone must not fill the memory of a process that runs for years.
func TestRememberedStartsAreBounded(t *testing.T) {
	l := newTargetList()
	for i := range 3 * maxRemembered {
		name := fmt.Sprint(i)
		l.take(time.Time{}, platform.TargetNews{Present: []serving.Target{startOf(name, 1)}})
		l.take(time.Time{}, platform.TargetNews{Gone: []string{name}})
	}
	if len(l.started) > maxRemembered {
		t.Errorf("%d starts are remembered", len(l.started))
	}
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
