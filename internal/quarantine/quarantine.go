// Package quarantine stops requests during which targets have crashed from reaching more targets. It
// determines whether a target that has broken off requests has crashed, sends the result to the other
// gateways, and keeps the records in the platform's store, from which processes load them at their start.
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
	crashesMetric     = "quarantine.crashes"     // crashes of targets that this gateway has counted against contents
	rejectedMetric    = "quarantine.rejected"    // requests that were not sent
	triedMetric       = "quarantine.tried"       // requests with quarantined contents that were sent as trials
	clearedMetric     = "quarantine.cleared"     // contents that were served after targets had crashed while running them
	recordsMetric     = "quarantine.records"     // records of contents and scopes
	quarantinedMetric = "quarantine.quarantined" // contents that are quarantined
	scopesMetric      = "quarantine.scopes"      // scopes (resources, jobs and routes) that are quarantined
	suspectsMetric    = "quarantine.suspects"    // broken-off runs whose target is not yet known to have crashed or not
	overflowMetric    = "quarantine.overflow"    // broken-off runs that were not tracked because there were too many
)

// Fleet provides the state of targets and requests reports to peers.
type Fleet interface {
	// IsInService reports whether a target is on the list of targets and not leaving.
	IsInService(id string) bool
	// HeardSince reports whether a target has sent data to this process after a time.
	HeardSince(id string, t time.Time) bool
	// ReportSoon requests that a report is sent to peers without waiting for the next one that is due.
	ReportSoon()
}

// NoFleet is a Fleet and a prober for processes that receive the crashes of targets from others and exchange
// records through the store alone.
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

// Options are the settings and dependencies of a Quarantine.
type Options struct {
	Threshold int           // crashes of targets after which a content is quarantined
	Hold      time.Duration // time after a quarantined content was last seen until its record is discarded
	Off       policy.Off
	Prober    platform.TargetProber
	Fleet     Fleet
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// Quarantine is a quarantine.Registry with a lock, and the detection and exchange of crashes that update it.
// It is safe for concurrent use.
type Quarantine struct {
	isOn       bool
	hasScopes  bool // contents are also quarantined by scope
	prober     platform.TargetProber
	fleet      Fleet
	log        hclog.Logger
	routineLog *logging.Routine
	brokenOff  metrics.Counter
	fellSilent metrics.Counter
	crashes    metrics.Counter
	rejected   metrics.Counter
	tried      metrics.Counter
	cleared    metrics.Counter
	overflow   metrics.Counter

	// recordCount is the number of records in the registry. While it is 0, no request needs a fingerprint.
	recordCount atomic.Int64
	// passedContents are the contents whose runs have recently passed in this process.
	passedContents *quarantine.PassedSet
	isLoaded       atomic.Bool // the records in the store have been read
	// writeSignal receives a value when the store may lack information.
	writeSignal chan struct{}

	mu       sync.Mutex
	registry *quarantine.Registry
	suspects suspectTable
	// recentInterruptions are the runs that this process has recently ended.
	recentInterruptions interruptions
}

// maxTrialJitter spreads the times from which gateways may send trials of a quarantined content. A trial by
// one gateway becomes known to the others within some tens of milliseconds.
const maxTrialJitter = 500 * time.Millisecond

// New returns a quarantine without records.
func New(o Options) *Quarantine {
	q := &Quarantine{
		isOn: o.Off.Allows(policy.Quarantine), hasScopes: o.Off.Allows(policy.QuarantineScopes), prober: o.Prober, fleet: o.Fleet, log: o.Log, routineLog: logging.NewRoutine(o.Log),
		brokenOff:   metrics.GetOrRegisterCounter(brokenMetric, o.Metrics),
		fellSilent:  metrics.GetOrRegisterCounter(silentMetric, o.Metrics),
		crashes:     metrics.GetOrRegisterCounter(crashesMetric, o.Metrics),
		rejected:    metrics.GetOrRegisterCounter(rejectedMetric, o.Metrics),
		tried:       metrics.GetOrRegisterCounter(triedMetric, o.Metrics),
		cleared:     metrics.GetOrRegisterCounter(clearedMetric, o.Metrics),
		overflow:    metrics.GetOrRegisterCounter(overflowMetric, o.Metrics),
		writeSignal: make(chan struct{}, 1), passedContents: quarantine.NewPassedSet(),
		registry: quarantine.NewRegistry(quarantine.Options{Threshold: o.Threshold, Hold: o.Hold, Jitter: func() time.Duration { return rand.N(maxTrialJitter) }}),
		suspects: newSuspectTable(),
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

// Run exchanges records with the store until ctx ends. It returns at once if the quarantine is disabled.
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

// Loaded reports whether the records in the store have been read. It is true if the quarantine is disabled.
func (q *Quarantine) Loaded() bool { return !q.isOn || q.isLoaded.Load() }

// IsEmpty reports whether there are no records, so that no request needs to be checked.
func (q *Quarantine) IsEmpty() bool { return q.recordCount.Load() == 0 }

// Check returns an error of type errs.Quarantined if a request must not be sent to a target.
func (q *Quarantine) Check(c *quarantine.Content) error {
	if q.IsEmpty() {
		return nil
	}
	s, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.Check(now, s.Content) {
		return q.reject(c, reasonContent)
	}
	if q.registry.CheckScopes(now, s) {
		return q.reject(c, reasonScope)
	}
	return nil
}

// AdmitRequest must be called immediately before a request is sent to a target. It returns an error of type
// errs.Quarantined if the request must not be sent. A quarantined request may occasionally be sent as a trial
// to find out whether it causes the crashes.
func (q *Quarantine) AdmitRequest(c *quarantine.Content) error {
	if q.IsEmpty() {
		return nil
	}
	isTrial, err := q.admit(c)
	if isTrial {
		q.propagate()
	}
	return err
}

func (q *Quarantine) admit(c *quarantine.Content) (isTrial bool, err error) {
	s, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.CheckScopes(now, s) {
		return false, q.reject(c, reasonScope)
	}
	isQuarantined, isContentTrial := q.registry.Admit(now, s.Content)
	if isQuarantined {
		return false, q.reject(c, reasonContent)
	}
	_, isScopeTrial := q.registry.AdmitScopes(now, s)
	if isContentTrial || isScopeTrial {
		q.tried.Inc(1)
		q.log.Info("tried", "request", c.Request.ID, "content", s.Content.String(), "crashes", q.registry.Crashes(s.Content),
			"scope_crashes", q.registry.ScopeCrashes(s))
	}
	return isContentTrial || isScopeTrial, nil
}

// Reasons for which a request is not sent, as they appear in log lines.
const (
	reasonContent = "content"
	reasonScope   = "scope"
)

// reject counts and logs a request that is not sent. The caller holds q.mu.
func (q *Quarantine) reject(c *quarantine.Content, reason string) error {
	s := q.subject(c)
	crashes, scopeCrashes := q.registry.Crashes(s.Content), q.registry.ScopeCrashes(s)
	q.rejected.Inc(1)
	q.routineLog.Info(time.Now(), "quarantined", "request", c.Request.ID, "content", s.Content.String(), "why", reason, "crashes", crashes,
		"scope_crashes", scopeCrashes)
	if reason == reasonScope {
		return errs.Newf(errs.Quarantined, "%d targets have crashed while running similar requests", scopeCrashes)
	}
	return errs.Newf(errs.Quarantined, "%d targets have crashed while running this request", crashes)
}

// subject returns the fingerprints of a request, without scopes if these are disabled.
func (q *Quarantine) subject(c *quarantine.Content) quarantine.Subject {
	s := c.Subject()
	if !q.hasScopes {
		return quarantine.Subject{Content: s.Content}
	}
	s.HasPassed = q.passedContents.Has(c.Digest())
	return s
}

// IsSuspect reports whether a request may crash targets like others of its resource or job, so that it should
// be sent alone.
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
	defer q.passedContents.Add(c.Digest())
	if q.IsEmpty() {
		return
	}
	s := q.subject(c)
	q.mu.Lock()
	crashes := q.registry.ScopeCrashes(s)
	isNew := q.registry.NotePassed(time.Now(), s)
	q.mu.Unlock()
	if isNew {
		q.log.Info("scopes cleared", "request", c.Request.ID, "content", s.Content.String(), "crashes", crashes)
		q.propagate()
	}
}

// Served notes that a target has served a request completely.
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
		q.propagate()
	}
}

// noteCrash counts the crash of a target against a request.
func (q *Quarantine) noteCrash(s suspect, target, evidence string) {
	subject := q.subject(s.content)
	f, crash := subject.Content, quarantine.NewCrash(target, s.start, s.beganAt, s.brokenAt)
	q.mu.Lock()
	now := time.Now()
	isNew := q.registry.NoteCrash(now, f, crash)
	if isNew && s.isUnpassed {
		q.registry.NoteScopeCrash(now, subject, crash)
	}
	crashes, isQuarantined := q.registry.Crashes(f), q.registry.Check(now, f)
	scopeCrashes, isScopeQuarantined := q.registry.ScopeCrashes(subject), q.registry.CheckScopes(now, subject)
	q.recordCount.Store(int64(q.registry.Len()))
	q.mu.Unlock()
	if !isNew {
		return
	}
	q.crashes.Inc(1)
	q.log.Warn("target crashed under request", "request", s.content.Request.ID, "content", f.String(), "target", target, "evidence", evidence,
		"after_ms", now.Sub(s.brokenAt).Milliseconds(), "crashes", crashes, "quarantined", isQuarantined,
		"scope_crashes", scopeCrashes, "scope_quarantined", isScopeQuarantined)
	q.propagate()
}

// propagate causes changed records to be sent to peers and written to the store.
func (q *Quarantine) propagate() {
	q.fleet.ReportSoon()
	q.signalWriter()
}

func (q *Quarantine) signalWriter() {
	select {
	case q.writeSignal <- struct{}{}:
	default:
	}
}

// maxRecordsPerReport bounds the records in one report to peers, which amounts to some hundred bytes.
const maxRecordsPerReport = 8

// ToTell returns the records that are due to be sent to peers.
func (q *Quarantine) ToTell() []quarantine.Record {
	if q.IsEmpty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.ToTell(time.Now(), maxRecordsPerReport)
}

// PeerStarted notes that a message from a peer was received for the first time.
func (q *Quarantine) PeerStarted() {
	if q.IsEmpty() {
		return
	}
	q.mu.Lock()
	q.registry.TellAgain(time.Now())
	q.mu.Unlock()
	q.fleet.ReportSoon()
}

// peerWriteTimeout is how long a peer that has sent a record may take to write it to the store before this
// gateway writes it.
const peerWriteTimeout = 5 * time.Second

// Apply merges records that were received from a peer.
func (q *Quarantine) Apply(records []quarantine.Record) {
	if !q.isOn || len(records) == 0 {
		return
	}
	q.applyRecords(records, "peer", func(now time.Time, r quarantine.Record) bool {
		return q.registry.ApplyPeer(now, r, now.Add(peerWriteTimeout))
	})
	q.signalWriter()
}

// applyRecords applies each record under the lock and logs those that add information.
func (q *Quarantine) applyRecords(records []quarantine.Record, source string, apply func(now time.Time, r quarantine.Record) bool) {
	for _, r := range records {
		q.mu.Lock()
		now := time.Now()
		isNew := apply(now, r)
		crashes := q.registry.Crashes(r.Content)
		q.recordCount.Store(int64(q.registry.Len()))
		q.mu.Unlock()
		if isNew {
			q.routineLog.Info(now, "record learned", "content", r.Content.String(), "from", source, "crashes", crashes, "seen_ms_ago", now.Sub(r.Seen).Milliseconds())
		}
	}
}
