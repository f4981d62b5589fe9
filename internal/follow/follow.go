// Package follow keeps a process's configuration at the head of the log. In each
// failure domain two entries read the log and the others follow them over
// their peer listeners (see core/relay); sides get the records over the sessions
// that entries have with them.
package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// VersionNeverBack is the invariant that a process never takes a lower version
// than it has had.
const VersionNeverBack invariant.Name = "config_version_never_back"

const (
	// PollWait is how long a question is held while there is nothing new. A
	// silent parent is noticed after PollWait+pollGrace, which with one
	// step to another parent stays well under the 4 s in which a change must be in
	// force.
	PollWait  = time.Second
	pollGrace = time.Second
	// FreshFor is the age up to which a configuration counts as fresh.
	FreshFor = 4 * time.Second
	// suspectFor is how long a parent that failed is passed over.
	suspectFor = 5 * time.Second
	// Between attempts while nobody answers; drawn from this range, so that
	// the followers of a lost parent don't come at once.
	backoffMin = 200 * time.Millisecond
	backoffMax = time.Second
	// logEvery is how often a log that failed is tried.
	logEvery = 3 * time.Second
	// keepTail is how many records are kept to hand on; who is further behind gets a snapshot.
	keepTail  = 512
	pageSize  = 500
	maxClient = 64 << 20 // bytes of one answer
)

// Follower holds the newest configuration of an entry. It is a confstate.Source.
type Follower struct {
	opts  Options
	self  platform.Host
	log   hclog.Logger
	now   func() time.Time
	auth  auth
	fetch Fetcher
	check *invariant.Checker
	stats stats

	ready     chan struct{}
	readyOnce sync.Once
	stop      chan struct{} // closed when Run is to end
	stopOnce  sync.Once

	mu      sync.Mutex
	state   *confstate.State
	tail    []structs.LogEntry // the newest records, up to state.Version
	tailOf  structs.Version    // the version before tail[0]
	freshAt time.Time          // when state was known to be the newest
	stale   bool               // nobody can tell whether there is something newer
	ahead   structs.Version    // the highest version that was heard of
	changed chan struct{}      // closed when state or stale changes

	suspects suspects
	sides    sides
}

// New returns a Follower that holds the empty configuration until Run.
func New(o Options) *Follower {
	o = o.withDefaults()
	f := &Follower{
		opts: o,
		self: platform.Host{
			ID:     o.Self.Host.ID,
			Role:   platform.RoleEntry,
			Domain: o.Self.Host.Domain,
			Region: o.Self.Host.Region,
			State:  platform.HostLive,
		},
		log:     o.Logger,
		now:     o.Clock,
		auth:    auth{keys: o.PeerKeys, retired: o.RetiredKey},
		check:   o.Check,
		ready:   make(chan struct{}),
		stop:    make(chan struct{}),
		state:   confstate.Empty(),
		changed: make(chan struct{}),
		stats:   newStats(o.Metrics),
	}
	if f.fetch = o.Fetcher; f.fetch == nil {
		f.fetch = newHTTPFetcher(o.Self.Host.ID, &f.auth, nil)
	}
	if f.check == nil {
		f.check = invariant.NewChecker(func(v invariant.Violation) {
			f.log.Error("invariant violated", "name", v.Name, "detail", v.Detail)
		})
	}
	return f
}

// Run follows the configuration until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	// Questions that are held end at once: two processes that follow each other
	// would else wait for each other's end.
	context.AfterFunc(ctx, func() { f.stopOnce.Do(func() { close(f.stop) }) })
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		f.start(ctx)
		f.follow(ctx)
		return nil
	})
	g.Go(func() error {
		f.push(ctx)
		return nil
	})
	g.Go(func() error {
		f.snapshots(ctx)
		return nil
	})
	return g.Wait()
}

// Ready is closed once the process holds the newest configuration that it can
// know of: the log's head, or with the log down the highest that its peers hold.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

func (f *Follower) isReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

func (f *Follower) becomeReady(how string) {
	f.readyOnce.Do(func() {
		f.log.Info("configuration ready", "version", f.Current().Version, "from", how)
		close(f.ready)
	})
}

// Current implements confstate.Source.
func (f *Follower) Current() *confstate.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Fresh reports whether the configuration is at most FreshFor old. While it is
// not, a change may be in force elsewhere that this process does not know of.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.freshAt.IsZero() && f.now().Sub(f.freshAt) <= FreshFor
}

// WaitFor returns the State once its version is v or higher. Error: errs.DeadlineExceeded
// when ctx ends first.
func (f *Follower) WaitFor(ctx context.Context, v structs.Version) (*confstate.State, error) {
	for {
		s, changed := f.Watch()
		if s.Version >= v {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s, errors.WithStack(errs.Newf(errs.DeadlineExceeded, "version %d is not here yet, only %d", v, s.Version))
		}
	}
}

// Watch returns the State and a channel that is closed when there may be a newer one.
func (f *Follower) Watch() (*confstate.State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

// Hint says that some process has version v. If this one stays behind, it turns
// to another source.
func (f *Follower) Hint(v structs.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ahead = max(f.ahead, v)
}

// takeRecords folds entries that follow on version from. Error: errs.LogTrimmed when
// some are missing between the State and them.
func (f *Follower) takeRecords(from structs.Version, entries []structs.LogEntry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.state.Version {
		return errors.WithStack(errs.Newf(errs.LogTrimmed, "records from %d on do not follow on version %d", from, f.state.Version))
	}
	next := f.state.Fold(entries)
	if next == f.state {
		return nil
	}
	for _, e := range entries {
		if structs.Version(e.Offset) > f.state.Version {
			f.tail = append(f.tail, e)
		}
	}
	if extra := len(f.tail) - keepTail; extra > 0 {
		f.tailOf = structs.Version(f.tail[extra-1].Offset)
		f.tail = slices.Clone(f.tail[extra:])
	}
	return f.install(next)
}

// takeSnapshot takes a whole State. One that is not newer is left alone.
func (f *Follower) takeSnapshot(s *confstate.State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Version <= f.state.Version {
		return nil
	}
	f.tail = nil
	f.tailOf = s.Version
	return f.install(s)
}

// install makes next the State; f.mu is held. It is the only place that does. A
// process that went back would act on what an operator has replaced, and two
// such processes would act against each other; so it is refused here
// whatever the reason, counted, and logged as an error.
func (f *Follower) install(next *confstate.State) error {
	have := f.state.Version
	if err := f.refuseOlder(next.Version); err != nil {
		return err
	}
	f.state = next
	f.ahead = max(f.ahead, next.Version)
	f.stats.version.Update(int64(next.Version))
	f.signal()
	f.log.Info("configuration in force", "version", next.Version, "before", have)
	return nil
}

// refuseOlder reports got as a violation if it is lower than the State's version; f.mu is held.
func (f *Follower) refuseOlder(got structs.Version) error {
	have := f.state.Version
	if got >= have {
		return nil
	}
	f.stats.regressions.Inc(1)
	f.check.Check(false, VersionNeverBack, fmt.Sprintf("%s has version %d and got %d", f.self.ID, have, got))
	return errors.WithStack(errs.Newf(errs.Internal, "configuration version went back from %d to %d; the newer is kept", have, got))
}

// signal wakes all that wait for a change; f.mu is held.
func (f *Follower) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// heard notes that the State was the newest at the time at. What is not news
// leaves a stale process stale: it may be what its own children heard of it
// before, and a circle of processes would take each other's word for ever.
func (f *Follower) heard(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.freshAt) {
		f.freshAt = at
		f.setStale(false)
	}
}

// lost notes that nobody could be reached.
func (f *Follower) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setStale(true)
}

// setStale is for heard and lost; f.mu is held.
func (f *Follower) setStale(stale bool) {
	if f.stale == stale {
		return
	}
	f.stale = stale
	f.signal()
	var gauge int64
	if stale {
		gauge = 1
		f.log.Warn("no source of configuration answers", "version", f.state.Version)
	}
	f.stats.stale.Update(gauge)
}
