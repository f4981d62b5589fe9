// Package quarantine stops requests during which targets have crashed from reaching more targets. Gateways
// and entries call it before they send a request and when a run ends. It determines whether a target that has
// broken off requests has crashed, exchanges the records of crashes with peers, and keeps them in the
// platform's store, from which processes load them at their start. The rules for quarantine are in package
// core/quarantine.
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
	// brokenOffMetric counts the runs that callers have reported as broken off by targets. A run that had certainly
	// not begun is reported only if its target is known to have crashed.
	brokenOffMetric   = "quarantine.broken_off"
	fellSilentMetric  = "quarantine.fell_silent" // runs that were ended because their targets sent nothing
	crashesMetric     = "quarantine.crashes"     // crashes of targets that this process has counted against contents
	rejectedMetric    = "quarantine.rejected"    // requests that were not sent because their content or a scope is quarantined
	trialsMetric      = "quarantine.tried"       // requests that were sent as trials of quarantined contents or scopes
	clearedMetric     = "quarantine.cleared"     // contents whose crashes were cleared because a target served them
	recordsMetric     = "quarantine.records"     // records of contents and scopes
	quarantinedMetric = "quarantine.quarantined" // contents that are quarantined
	scopesMetric      = "quarantine.scopes"      // scopes of all kinds that are quarantined
	// rejectedByMetric, with the name of a kind of scope or reasonContent appended, counts the rejected requests by
	// what forbade to send them.
	rejectedByMetric = "quarantine.rejected."
	suspectsMetric   = "quarantine.suspects" // runs for which it is not known yet whether their target has crashed
	overflowMetric   = "quarantine.overflow" // runs that were not tracked because there were too many suspects
)

// Fleet provides the state of targets and sends reports to peers.
type Fleet interface {
	// IsInService reports whether a target is on the list of targets and not leaving.
	IsInService(id string) bool
	// HasActivitySince reports whether a target has sent data to this process after t.
	HasActivitySince(id string, t time.Time) bool
	// RequestReport sends a report to peers soon, instead of when the next one is due.
	RequestReport()
}

// NoFleet is a Fleet and a platform.TargetProber for processes that do not observe targets and exchange records
// through the store alone. It may be embedded to override some of its methods.
type NoFleet struct{}

// IsInService implements Fleet. It returns true: without a list of targets, none is known to be leaving.
func (NoFleet) IsInService(string) bool { return true }

// HasActivitySince implements Fleet.
func (NoFleet) HasActivitySince(string, time.Time) bool { return false }

// RequestReport implements Fleet.
func (NoFleet) RequestReport() {}

// Probe implements platform.TargetProber.
func (NoFleet) Probe(context.Context, serving.Target) platform.ProbeResult {
	return platform.ProbeUnknown
}

// Options are the settings and dependencies of a Quarantine.
type Options struct {
	Threshold int                   // crashes of targets after which a content is quarantined
	Hold      time.Duration         // how long a content stays quarantined after its last crash or rejected request
	Disabled  policy.Disabled       // policies that are disabled
	Prober    platform.TargetProber // probes targets that have broken off requests
	Fleet     Fleet
	Log       hclog.Logger
	Metrics   metrics.Registry
}

// Quarantine holds this process's records of target crashes in a quarantine.Registry and checks requests
// against them. It detects crashes of targets and exchanges records with peers and the store. It is safe for
// concurrent use.
type Quarantine struct {
	isOn       bool // the quarantine is not disabled
	hasScopes  bool // scopes are quarantined as well as contents
	prober     platform.TargetProber
	fleet      Fleet
	log        hclog.Logger
	metrics    metrics.Registry
	routineLog *logging.Routine // limits the rate of lines that each request may cause
	brokenOff  metrics.Counter
	fellSilent metrics.Counter
	crashes    metrics.Counter
	rejected   metrics.Counter
	trials     metrics.Counter
	cleared    metrics.Counter
	overflow   metrics.Counter

	// recordCount is the number of records in the registry. While it is 0, no request needs a fingerprint.
	recordCount atomic.Int64
	// passedContents are the digests of contents of which a run has recently passed in this process.
	passedContents *quarantine.PassedSet
	// passes are when runs with parts of prompts have passed in this process.
	passes   *quarantine.PassTimes
	isLoaded atomic.Bool // the newest records in the store have been read
	// writeSignal receives a value when records may be due to be written to the store.
	writeSignal chan struct{}

	mu       sync.Mutex // guards the fields below
	registry *quarantine.Registry
	suspects *suspectTable
	// recentInterruptions are the runs whose answers have recently ended without framing; see NoteServedUnframed.
	recentInterruptions interruptions
}

// maxTrialJitter is the maximum of the random delay that each gateway adds before a trial, so that gateways do
// not send trials of a content simultaneously. The others receive the record of a trial within some tens of
// milliseconds.
const maxTrialJitter = 500 * time.Millisecond

// New returns a Quarantine without records, and registers its metrics. Run loads the records from the store.
func New(o Options) *Quarantine {
	passes := quarantine.NewPassTimes()
	q := &Quarantine{
		isOn: o.Disabled.IsEnabled(policy.Quarantine), hasScopes: o.Disabled.IsEnabled(policy.QuarantineScopes), prober: o.Prober, fleet: o.Fleet, log: o.Log, metrics: o.Metrics, routineLog: logging.NewRoutine(o.Log),
		brokenOff:   metrics.GetOrRegisterCounter(brokenOffMetric, o.Metrics),
		fellSilent:  metrics.GetOrRegisterCounter(fellSilentMetric, o.Metrics),
		crashes:     metrics.GetOrRegisterCounter(crashesMetric, o.Metrics),
		rejected:    metrics.GetOrRegisterCounter(rejectedMetric, o.Metrics),
		trials:      metrics.GetOrRegisterCounter(trialsMetric, o.Metrics),
		cleared:     metrics.GetOrRegisterCounter(clearedMetric, o.Metrics),
		overflow:    metrics.GetOrRegisterCounter(overflowMetric, o.Metrics),
		writeSignal: make(chan struct{}, 1), passedContents: quarantine.NewPassedSet(), passes: passes,
		registry: quarantine.NewRegistry(quarantine.Options{
			Threshold: o.Threshold, Hold: o.Hold, Passes: passes, Jitter: func() time.Duration { return rand.N(maxTrialJitter) },
			PassDelay: func() time.Duration { return rand.N(quarantine.MaxPassDelay) },
		}),
		suspects: newSuspectTable(),
	}
	for name, read := range map[string]func() int64{
		recordsMetric:     func() int64 { return int64(q.registry.Len()) },
		quarantinedMetric: func() int64 { contents, _ := q.registry.CountQuarantined(); return int64(contents) },
		scopesMetric:      func() int64 { _, scopes := q.registry.CountQuarantined(); return int64(scopes) },
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

// Run exchanges records with the store until ctx ends, and then returns nil. If the quarantine is disabled, it
// returns nil at once.
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

// IsLoaded reports whether the newest records in the store have been read. It is true if the quarantine is
// disabled.
func (q *Quarantine) IsLoaded() bool { return !q.isOn || q.isLoaded.Load() }

// IsEmpty reports whether this process has no records, so that no request needs to be checked.
func (q *Quarantine) IsEmpty() bool { return q.recordCount.Load() == 0 }

// Check returns an error of type errs.Quarantined if a request must not be sent to a target now because its
// content or one of its scopes is quarantined. Unlike AdmitRequest, it notes no trial.
func (q *Quarantine) Check(c *quarantine.Content) error {
	if q.IsEmpty() {
		return nil
	}
	subject, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.Check(now, subject.Content) {
		return q.rejectContent(c)
	}
	if block, isBlocked := q.registry.BlockingScope(now, subject); isBlocked {
		return q.rejectScope(c, block)
	}
	return nil
}

// AdmitRequest must be called immediately before a request is sent to a target. It returns an error of type
// errs.Quarantined if the request must not be sent. If a trial is due, a quarantined request is admitted, to
// find out whether it causes the crashes, and the record of the trial is sent to peers and to the store. A further
// attempt of an online request waits for at most maxVerdictWait.
func (q *Quarantine) AdmitRequest(c *quarantine.Content) error {
	q.awaitVerdict(c)
	if q.IsEmpty() {
		return nil
	}
	isTrial, err := q.admit(c)
	if isTrial {
		q.propagate()
	}
	return err
}

// admit is AdmitRequest without propagating the record of a trial; isTrial reports whether the request is a trial.
func (q *Quarantine) admit(c *quarantine.Content) (isTrial bool, err error) {
	subject, now := q.subject(c), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if block, isBlocked := q.registry.BlockingScope(now, subject); isBlocked {
		return false, q.rejectScope(c, block)
	}
	isQuarantined, isContentTrial := q.registry.Admit(now, subject.Content)
	if isQuarantined {
		return false, q.rejectContent(c)
	}
	_, isScopeTrial := q.registry.AdmitScopes(now, subject)
	if isContentTrial || isScopeTrial {
		q.trials.Inc(1)
		q.log.Info("tried", "request", c.Request.ID, "content", subject.Content.String(), "crashes", q.registry.CrashCount(subject.Content),
			"scope_crashes", q.registry.MaxScopeCrashes(subject))
	}
	return isContentTrial || isScopeTrial, nil
}

// Values of the log key why for a rejected request: whether its content or one of its scopes is quarantined.
const (
	reasonContent = "content"
	reasonScope   = "scope"
)

// rejectContent counts and logs a request that is not sent because its content is quarantined, and returns the error
// for its caller. q.mu must be held.
func (q *Quarantine) rejectContent(c *quarantine.Content) error {
	crashCount := q.registry.CrashCount(c.Fingerprint())
	q.countRejected(reasonContent)
	q.routineLog.Info(time.Now(), "quarantined", "request", c.Request.ID, "content", c.Fingerprint().String(), "why", reasonContent, "crashes", crashCount,
		"scope_crashes", q.registry.MaxScopeCrashes(q.subject(c)))
	return errs.Newf(errs.Quarantined, "%d targets have crashed while running this request", crashCount)
}

// rejectScope counts and logs a request that is not sent because of the quarantine of a scope, and returns the error
// for its caller. q.mu must be held.
func (q *Quarantine) rejectScope(c *quarantine.Content, block quarantine.Block) error {
	now := time.Now()
	q.countRejected(block.Kind)
	part := blamedPart(c, block)
	q.routineLog.Info(now, "quarantined", "request", c.Request.ID, "content", c.Fingerprint().String(), "why", reasonScope, "crashes", q.registry.CrashCount(c.Fingerprint()),
		"scope_crashes", block.Crashes, "scope", block.Scope.String(), "kind", block.Kind, "part", part, "trial_in_ms", block.Until.Sub(now).Milliseconds())
	if part != "" {
		return errs.Newf(errs.Quarantined, "%d targets have crashed while running requests with the part %s in their prompts", block.Crashes, part)
	}
	return errs.Newf(errs.Quarantined, "%d targets have crashed while running similar requests", block.Crashes)
}

// blamedPart returns the id of the part of a request's prompt that blocks it; empty if anything else does.
func blamedPart(c *quarantine.Content, block quarantine.Block) string {
	if block.Kind != quarantine.KindPart {
		return ""
	}
	return c.Request.Prompt.Parts[block.Part]
}

// countRejected counts a request that was not sent, in total and by the kind of scope that forbade it.
func (q *Quarantine) countRejected(kind string) {
	q.rejected.Inc(1)
	metrics.GetOrRegisterCounter(rejectedByMetric+kind, q.metrics).Inc(1)
}

// subject returns the fingerprints of a request and whether a run of its content has recently passed. If the
// quarantine of scopes is disabled, it returns only the fingerprint of the content.
func (q *Quarantine) subject(c *quarantine.Content) quarantine.Subject {
	subject := c.Subject()
	if !q.hasScopes {
		return quarantine.Subject{Content: subject.Content}
	}
	subject.HasPassed = q.passedContents.Contains(c.Digest())
	return subject
}

// NotePassed notes that a run of a request, whose answer began at answeredAt, has passed; see
// quarantine.MinPassDuration.
func (q *Quarantine) NotePassed(c *quarantine.Content, answeredAt time.Time) {
	if !q.isOn || !q.hasScopes {
		return
	}
	defer q.passedContents.Add(c.Digest())
	q.passes.Note(answeredAt, c.PromptParts())
	if q.IsEmpty() {
		return
	}
	subject := q.subject(c)
	subject.AnsweredAt = answeredAt
	q.mu.Lock()
	maxScopeCrashes := q.registry.MaxScopeCrashes(subject)
	isNew := q.registry.NotePassed(time.Now(), subject)
	q.mu.Unlock()
	if isNew {
		q.log.Info("scopes cleared", "request", c.Request.ID, "content", subject.Content.String(), "parts", c.Request.Prompt.String(), "crashes", maxScopeCrashes)
		q.propagate()
	}
}

// NoteServed notes that a target has served a request completely, with an answer that began at answeredAt. This clears
// the content and counts as a pass.
func (q *Quarantine) NoteServed(c *quarantine.Content, answeredAt time.Time) {
	q.NotePassed(c, answeredAt)
	if q.IsEmpty() {
		return
	}
	f := c.Fingerprint()
	q.mu.Lock()
	crashCount := q.registry.CrashCount(f)
	hasCleared := q.registry.NoteServed(time.Now(), f)
	q.mu.Unlock()
	if hasCleared {
		q.cleared.Inc(1)
		q.log.Info("cleared", "request", c.Request.ID, "content", f.String(), "crashes", crashCount)
		q.propagate()
	}
}

// noteCrash counts the crash of a target against the request of a suspect. evidence describes for the log how
// the crash was detected.
func (q *Quarantine) noteCrash(s suspect, target, evidence string) {
	q.mu.Lock()
	logCrash := q.countCrash(s, target, evidence)
	q.mu.Unlock()
	logCrash()
}

// countCrash counts the crash of a target against the request of a suspect. It returns the function that logs the
// crash and passes it on, which is to be called without the lock. The caller holds q.mu.
func (q *Quarantine) countCrash(s suspect, target, evidence string) (logCrash func()) {
	subject := q.subject(s.content)
	f, crash := subject.Content, quarantine.NewCrash(target, s.start, s.beganAt, s.brokenAt)
	now := time.Now()
	isNew := q.registry.NoteCrash(now, f, crash)
	if isNew && s.isUnpassed {
		q.registry.NoteScopeCrash(now, subject, crash)
	}
	crashCount, isQuarantined := q.registry.CrashCount(f), q.registry.Check(now, f)
	maxScopeCrashes := q.registry.MaxScopeCrashes(subject)
	block, isScopeQuarantined := q.registry.BlockingScope(now, subject)
	q.recordCount.Store(int64(q.registry.Len()))
	return func() {
		if !isNew {
			return
		}
		q.crashes.Inc(1)
		q.log.Warn("target crashed under request", "request", s.content.Request.ID, "content", f.String(), "target", target, "evidence", evidence, "parts", s.content.Request.Prompt.String(), "passed", !s.isUnpassed,
			"after_ms", now.Sub(s.brokenAt).Milliseconds(), "crashes", crashCount, "quarantined", isQuarantined,
			"scope_crashes", maxScopeCrashes, "scope_quarantined", isScopeQuarantined, "scope", block.Scope.String(), "kind", block.Kind)
		q.propagate()
	}
}

// propagate causes the records that are due to be sent to peers and written to the store soon.
func (q *Quarantine) propagate() {
	q.fleet.RequestReport()
	q.signalWriter()
}

// signalWriter causes storeSync.write to write the records that are due.
func (q *Quarantine) signalWriter() {
	select {
	case q.writeSignal <- struct{}{}:
	default:
	}
}

// maxRecordsPerReport bounds the number of records in one report to peers, to keep reports small: each record
// adds some hundred bytes.
const maxRecordsPerReport = 8

// DueForPeers returns the records for the next report to peers: those that are due, at most maxRecordsPerReport. If
// more may be due, it requests another report: one crash changes up to nine records for each request that the target
// was running.
func (q *Quarantine) DueForPeers() []quarantine.Record {
	if q.IsEmpty() {
		return nil
	}
	q.mu.Lock()
	list := q.registry.DueForPeers(time.Now(), maxRecordsPerReport)
	q.mu.Unlock()
	if len(list) == maxRecordsPerReport {
		q.fleet.RequestReport()
	}
	return list
}

// NotePeerStarted notes that a new or restarted peer was found, which has no records yet. It causes all quarantined
// records to be sent to all peers again.
func (q *Quarantine) NotePeerStarted() {
	if q.IsEmpty() {
		return
	}
	q.mu.Lock()
	q.registry.ResendQuarantined(time.Now())
	q.mu.Unlock()
	q.fleet.RequestReport()
}

// peerWriteTimeout is how long a peer that has sent a record to this gateway may take to write the record to
// the store. After that, this gateway writes it.
const peerWriteTimeout = 5 * time.Second

// ApplyRecords merges records that were received in a report from a peer.
func (q *Quarantine) ApplyRecords(records []quarantine.Record) {
	if !q.isOn || len(records) == 0 {
		return
	}
	q.applyRecords(records, "peer", func(now time.Time, r quarantine.Record) bool {
		return q.registry.ApplyPeer(now, r, now.Add(peerWriteTimeout))
	})
	q.signalWriter()
}

// applyRecords calls apply for each record with q.mu held, and logs the records for which apply reports that
// they added information. source is where the records come from, for the log.
func (q *Quarantine) applyRecords(records []quarantine.Record, source string, apply func(now time.Time, r quarantine.Record) bool) {
	for _, r := range records {
		q.mu.Lock()
		now := time.Now()
		isNew := apply(now, r)
		crashCount := q.registry.CrashCount(r.Content)
		q.recordCount.Store(int64(q.registry.Len()))
		q.mu.Unlock()
		if isNew {
			q.routineLog.Info(now, "record learned", "content", r.Content.String(), "from", source, "crashes", crashCount, "seen_ms_ago", now.Sub(r.LastSeen).Milliseconds())
		}
	}
}
