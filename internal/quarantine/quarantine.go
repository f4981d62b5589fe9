// Package quarantine keeps requests under which targets have crashed from reaching more targets. It finds out whether a target that
// has broken off requests has crashed, tells the other gateways, and keeps what is known in the platform's store, so that processes
// that start know it.
package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/internal/dependency"
	"arbutusramp/internal/logging"
)

// Names of the metrics.
const (
	brokenMetric      = "quarantine.broken_off"  // runs that targets have broken off after they may have begun
	silentMetric      = "quarantine.fell_silent" // runs that were ended because their targets sent nothing
	crashesMetric     = "quarantine.crashes"     // crashes of targets counted against contents by this gateway
	rejectedMetric    = "quarantine.rejected"    // sends that were not made
	triedMetric       = "quarantine.tried"       // sends of quarantined contents that were made to find out whether they are to blame
	clearedMetric     = "quarantine.cleared"     // contents that were served after targets had crashed under them
	recordsMetric     = "quarantine.records"     // contents that are known
	quarantinedMetric = "quarantine.quarantined" // of these those that are quarantined
	scopesMetric      = "quarantine.scopes"      // jobs, routes and resources that are quarantined
	suspectsMetric    = "quarantine.suspects"    // broken requests of which it is not known yet whether their target has crashed
	overflowMetric    = "quarantine.overflow"    // broken requests that were not followed, since too many were
)

// Fleet is what is known of targets.
type Fleet interface {
	// IsInService says whether a target is on the list and not leaving.
	IsInService(id string) bool
	// HeardSince says whether a target has sent something to this process after a time.
	HeardSince(id string, t time.Time) bool
	// ReportSoon has peers told of news without waiting for the next report.
	ReportSoon()
}

// NoFleet is for processes that are told of the crashes of targets, and that tell each other of them through the store alone.
type NoFleet struct{}

// IsInService implements Fleet.
func (NoFleet) IsInService(string) bool { return true }

// HeardSince implements Fleet.
func (NoFleet) HeardSince(string, time.Time) bool { return false }

// ReportSoon implements Fleet.
func (NoFleet) ReportSoon() {}

// Probe implements platform.TargetProber.
func (NoFleet) Probe(context.Context, serving.Target) platform.ProbeResult {
	return platform.ProbeUnknown
}

// Options are what a Quarantine needs to know.
type Options struct {
	Threshold int           // crashes of targets after which a content is quarantined
	Hold      time.Duration // from the last sighting of a quarantined content until it is forgotten
	Off       policy.Off
	Prober    platform.TargetProber
	Fleet     Fleet
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// Quarantine is a quarantine.Registry with a lock, and what feeds it. It is safe for concurrent use.
type Quarantine struct {
	isOn      bool
	hasScopes bool // what contents share is held back, too
	prober    platform.TargetProber
	fleet     Fleet
	log       hclog.Logger
	lines     *logging.Routine
	broken    metrics.Counter
	silent    metrics.Counter
	crashes   metrics.Counter
	rejected  metrics.Counter
	tried     metrics.Counter
	cleared   metrics.Counter
	overflow  metrics.Counter

	// known is the number of contents in the registry: while there are none, no request needs a fingerprint.
	known atomic.Int64
	// passed are the contents whose runs have passed at this process.
	passed *quarantine.PassedSet
	loaded atomic.Bool // what the store holds has been read
	// changed gets a token when the store may lack something.
	changed chan struct{}

	mu       sync.Mutex
	registry *quarantine.Registry
	suspects suspects
	// interrupted are runs that this process has ended lately.
	interrupted interruptions
}

// maxTryJitter spreads the moments from which gateways may try a quarantined content: what one of them does reaches the others within
// some tens of milliseconds.
const maxTryJitter = 500 * time.Millisecond

// New returns a quarantine that knows of nothing yet.
func New(o Options) *Quarantine {
	q := &Quarantine{
		isOn: o.Off.Allows(policy.Quarantine), hasScopes: o.Off.Allows(policy.QuarantineScopes), prober: o.Prober, fleet: o.Fleet, log: o.Log, lines: logging.NewRoutine(o.Log),
		broken:   metrics.GetOrRegisterCounter(brokenMetric, o.Metrics),
		silent:   metrics.GetOrRegisterCounter(silentMetric, o.Metrics),
		crashes:  metrics.GetOrRegisterCounter(crashesMetric, o.Metrics),
		rejected: metrics.GetOrRegisterCounter(rejectedMetric, o.Metrics),
		tried:    metrics.GetOrRegisterCounter(triedMetric, o.Metrics),
		cleared:  metrics.GetOrRegisterCounter(clearedMetric, o.Metrics),
		overflow: metrics.GetOrRegisterCounter(overflowMetric, o.Metrics),
		changed:  make(chan struct{}, 1), passed: quarantine.NewPassedSet(),
		registry: quarantine.NewRegistry(quarantine.Options{Threshold: o.Threshold, Hold: o.Hold, Jitter: func() time.Duration { return rand.N(maxTryJitter) }}),
		suspects: newSuspects(),
	}
	for name, read := range map[string]func() int64{
		recordsMetric:     func() int64 { return int64(q.registry.Len()) },
		quarantinedMetric: func() int64 { contents, _ := q.registry.Quarantined(); return int64(contents) },
		scopesMetric:      func() int64 { _, scopes := q.registry.Quarantined(); return int64(scopes) },
		suspectsMetric:    func() int64 { return int64(q.suspects.len()) },
	} {
		o.Metrics.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			return read()
		}))
	}
	return q
}

// Run follows the store until ctx ends.
func (q *Quarantine) Run(ctx context.Context, store Store) error {
	if !q.isOn {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	s := &storeSync{q: q, store: store, link: dependency.NewLink(q.log, partition.Topic)}
	g.Go(func() error { return s.read(ctx) })
	g.Go(func() error { return s.write(ctx) })
	g.Go(func() error { return q.expire(ctx, s) })
	return g.Wait()
}

// Loaded says whether what the store holds has been read.
func (q *Quarantine) Loaded() bool { return !q.isOn || q.loaded.Load() }

// IsEmpty says that no target has crashed under anything lately, so that no request need be checked.
func (q *Quarantine) IsEmpty() bool { return q.known.Load() == 0 }

// Check returns an error of type errs.Quarantined if a request must not be sent to a target.
func (q *Quarantine) Check(c *quarantine.Content) error {
	if q.IsEmpty() {
		return nil
	}
	s, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.Check(now, s.Content) {
		return q.reject(c, contentBlocks)
	}
	if q.registry.CheckScopes(now, s) {
		return q.reject(c, scopeBlocks)
	}
	return nil
}

// AdmitRequest is called right before a request is sent to a target. It returns an error of type errs.Quarantined if it must not be. One
// that is quarantined may be sent now and then to find out whether it is to blame.
func (q *Quarantine) AdmitRequest(c *quarantine.Content) error {
	if q.IsEmpty() {
		return nil
	}
	isTry, err := q.admit(c)
	if isTry {
		q.announce()
	}
	return err
}

func (q *Quarantine) admit(c *quarantine.Content) (isTry bool, err error) {
	s, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.CheckScopes(now, s) {
		return false, q.reject(c, scopeBlocks)
	}
	isQuarantined, isContentTry := q.registry.Admit(now, s.Content)
	if isQuarantined {
		return false, q.reject(c, contentBlocks)
	}
	_, isScopeTry := q.registry.AdmitScopes(now, s)
	if isContentTry || isScopeTry {
		q.tried.Inc(1)
		q.log.Info("tried", "request", c.Request.ID, "content", s.Content.String(), "crashes", q.registry.Crashes(s.Content),
			"scope_crashes", q.registry.ScopeCrashes(s))
	}
	return isContentTry || isScopeTry, nil
}

// What keeps a request from targets, as log lines say it.
const (
	contentBlocks = "content"
	scopeBlocks   = "scope"
)

// reject counts and logs a request that is not sent. The caller holds the lock.
func (q *Quarantine) reject(c *quarantine.Content, why string) error {
	s := q.subject(c)
	crashes, scopeCrashes := q.registry.Crashes(s.Content), q.registry.ScopeCrashes(s)
	q.rejected.Inc(1)
	q.lines.Info(time.Now(), "quarantined", "request", c.Request.ID, "content", s.Content.String(), "why", why, "crashes", crashes,
		"scope_crashes", scopeCrashes)
	if why == scopeBlocks {
		return errs.Newf(errs.Quarantined, "%d targets have crashed under requests like this one", scopeCrashes)
	}
	return errs.Newf(errs.Quarantined, "%d targets have crashed under this request", crashes)
}

// subject is what a request is known by here.
func (q *Quarantine) subject(c *quarantine.Content) quarantine.Subject {
	s := c.Subject()
	if !q.hasScopes {
		return quarantine.Subject{Content: s.Content}
	}
	s.HasPassed = q.passed.Has(c.Digest())
	return s
}

// IsSuspect says that a request may crash targets like others of its resource or job, so that it should be sent alone.
func (q *Quarantine) IsSuspect(c *quarantine.Content) bool {
	if q.IsEmpty() {
		return false
	}
	s := q.subject(c)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.IsSuspect(s)
}

// Passed notes that a run of a request has passed; see quarantine.PassTime.
func (q *Quarantine) Passed(c *quarantine.Content) {
	if !q.isOn || !q.hasScopes {
		return
	}
	defer q.passed.Add(c.Digest())
	if q.IsEmpty() {
		return
	}
	s := q.subject(c)
	q.mu.Lock()
	crashes := q.registry.ScopeCrashes(s)
	isNews := q.registry.NotePassed(time.Now(), s)
	q.mu.Unlock()
	if isNews {
		q.log.Info("scopes cleared", "request", c.Request.ID, "content", s.Content.String(), "crashes", crashes)
		q.announce()
	}
}

// Served notes that a target has served a request whole.
func (q *Quarantine) Served(c *quarantine.Content) {
	q.Passed(c)
	if q.IsEmpty() {
		return
	}
	f := c.Fingerprint()
	q.mu.Lock()
	crashes := q.registry.Crashes(f)
	hasCleared := q.registry.NoteServed(time.Now(), f)
	q.mu.Unlock()
	if hasCleared {
		q.cleared.Inc(1)
		q.log.Info("cleared", "request", c.Request.ID, "content", f.String(), "crashes", crashes)
		q.announce()
	}
}

// noteCrash counts the crash of a target against a request.
func (q *Quarantine) noteCrash(s suspect, target, evidence string) {
	subject := q.subject(s.content)
	f, crash := subject.Content, quarantine.NewCrash(target, s.start, s.began, s.broken)
	q.mu.Lock()
	now := time.Now()
	isNew := q.registry.NoteCrash(now, f, crash)
	if isNew && s.isEarly {
		q.registry.NoteScopeCrash(now, subject, crash)
	}
	crashes, isQuarantined := q.registry.Crashes(f), q.registry.Check(now, f)
	scopeCrashes, isScopeQuarantined := q.registry.ScopeCrashes(subject), q.registry.CheckScopes(now, subject)
	q.known.Store(int64(q.registry.Len()))
	q.mu.Unlock()
	if !isNew {
		return
	}
	q.crashes.Inc(1)
	q.log.Warn("target crashed under request", "request", s.content.Request.ID, "content", f.String(), "target", target, "evidence", evidence,
		"after_ms", now.Sub(s.broken).Milliseconds(), "crashes", crashes, "quarantined", isQuarantined,
		"scope_crashes", scopeCrashes, "scope_quarantined", isScopeQuarantined)
	q.announce()
}

// announce has peers and the store told.
func (q *Quarantine) announce() {
	q.fleet.ReportSoon()
	q.wakeWriter()
}

func (q *Quarantine) wakeWriter() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// maxTold is how many records one report to peers carries: some hundred bytes.
const maxTold = 8

// ToTell returns the records that peers should be told now.
func (q *Quarantine) ToTell() []quarantine.Record {
	if q.IsEmpty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.ToTell(time.Now(), maxTold)
}

// PeerStarted notes that a peer is heard for the first time.
func (q *Quarantine) PeerStarted() {
	if q.IsEmpty() {
		return
	}
	q.mu.Lock()
	q.registry.TellAgain(time.Now())
	q.mu.Unlock()
	q.fleet.ReportSoon()
}

// peerWritesWithin is how long a peer that tells of a crash may take to write it to the store.
const peerWritesWithin = 5 * time.Second

// Apply takes in what a peer tells.
func (q *Quarantine) Apply(records []quarantine.Record) {
	if !q.isOn || len(records) == 0 {
		return
	}
	q.take(records, "peer", func(now time.Time, r quarantine.Record) bool {
		return q.registry.ApplyPeer(now, r, now.Add(peerWritesWithin))
	})
	q.wakeWriter()
}

// take has apply take records in, under the lock, and logs those that say something new.
func (q *Quarantine) take(records []quarantine.Record, source string, apply func(now time.Time, r quarantine.Record) bool) {
	for _, r := range records {
		q.mu.Lock()
		now := time.Now()
		isNew := apply(now, r)
		crashes := q.registry.Crashes(r.Content)
		q.known.Store(int64(q.registry.Len()))
		q.mu.Unlock()
		if isNew {
			q.lines.Info(now, "record learned", "content", r.Content.String(), "from", source, "crashes", crashes, "seen_ms_ago", now.Sub(r.Seen).Milliseconds())
		}
	}
}
