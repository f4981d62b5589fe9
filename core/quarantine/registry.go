package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultThreshold is the number of crashes of targets after which a content is quarantined. With two crashes,
	// more harmless requests would be quarantined: those that ran on the same targets as the one that causes
	// crashes.
	DefaultThreshold = 3
	// DefaultHold is how long a content stays quarantined after the last crash or the last rejected request.
	DefaultHold = time.Hour
	// maxRecords bounds the number of records, each at most 1.5 kB.
	maxRecords = 1024
	// renewFraction is the fraction of Options.Hold by which Record.LastSeen may advance until the record is sent
	// again.
	renewFraction = 0.25
	// suspectRetention is how long the record of a content that is not quarantined is kept after its last
	// crash or clearance.
	suspectRetention = 10 * time.Minute
	// A changed record is sent to peers at once, and again at intervals that grow from minSendInterval to
	// maxSendInterval by a factor of sendIntervalGrowth.
	minSendInterval    = 150 * time.Millisecond
	maxSendInterval    = time.Minute
	sendIntervalGrowth = 3
	// trialDelay is how long after the last crash a request with a quarantined content may be sent as a trial,
	// if too few of its crashes are sequential to show that it causes them.
	trialDelay = 300 * time.Millisecond
	// trialTimeout is the time allowed for the result of a trial to become known. Until then, no other trial
	// of the content is sent unless a target has crashed since.
	trialTimeout = 3 * time.Second
)

// Options are the settings of a Registry.
type Options struct {
	Threshold int           // crashes of targets after which a content is quarantined; at most MaxCrashes
	Hold      time.Duration // how long a content stays quarantined after its last crash or rejected request
	// Jitter returns a duration that is added to each delay before a trial, so that gateways do not send
	// trials of a content simultaneously. If it is nil, nothing is added.
	Jitter func() time.Duration
	// Passes are the times at which runs with parts of prompts have passed in this process; nil for an empty table.
	Passes *PassTimes
	// PassDelay returns the delay before a pass of a part is sent to peers that have only heard of its crashes, so that not
	// all gateways send theirs. If it is nil, it is sent at once.
	PassDelay func() time.Duration
}

// Registry holds the records of one process: those of the contents and scopes during whose runs targets have
// crashed. It decides which of them are quarantined and when a record is due to be sent to peers and written
// to the store. It is not safe for concurrent use.
type Registry struct {
	opts    Options
	entries map[Fingerprint]*entry
	// nextSendAt is a time before which no record has to be sent to peers. Until then DueForPeers does not scan the
	// entries; it is called for each report to peers, many times a second.
	nextSendAt time.Time
	// changes counts the changes of crashes, so that results derived from them can be kept until the next one.
	changes int
	// narrow is the result of narrowQuarantined when changes was narrowAt.
	narrow   []*entry
	narrowAt int
	// parts is the result of blamedParts when changes was partsAt.
	parts   []partGroup
	partsAt int
	// partCount is the number of entries of parts.
	partCount int
	// unpassed is the result of unpassedCrashes when changes was unpassedAt.
	unpassed   map[uint64]bool
	unpassedAt int
}

// entry is the record of one content or scope, with the times at which it is next sent to peers and written to the
// store, and from which the next trial may be sent.
type entry struct {
	Record
	// stored is the record of the content or scope that the store is known to hold.
	stored Record
	// writeAt is when the record is to be written to the store; zero if stored covers it.
	writeAt time.Time
	// sendAt is when the record is next sent to peers, zero if this process does not send it; sendInterval is
	// the interval after that.
	sendAt       time.Time
	sendInterval time.Duration
	// announcedLastSeen is the latest LastSeen that was scheduled to be sent to peers, or was received from a
	// peer or the store.
	announcedLastSeen time.Time
	// trialAt is when this gateway may send the next request with the content or of the scope as a trial.
	trialAt time.Time
	// soundTrialAt is when this gateway may send a request of the scope as a trial if none of the parts of its prompt may be
	// to blame.
	soundTrialAt time.Time
	// unexplained is the result of Registry.unexplainedCrashes when Registry.changes was unexplainedAt.
	unexplained   []Crash
	unexplainedAt int
	// isPassPending is set while sendAt is that of a pass which a peer may send first.
	isPassPending bool
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	if o.Passes == nil {
		o.Passes = NewPassTimes()
	}
	return &Registry{opts: o, entries: make(map[Fingerprint]*entry)}
}

// Len returns the number of records: those of contents plus those of scopes.
func (reg *Registry) Len() int { return len(reg.entries) }

// Records returns copies of all records, in no particular order.
func (reg *Registry) Records() []Record {
	list := make([]Record, 0, len(reg.entries))
	for _, e := range reg.entries {
		list = append(list, e.Record.clone())
	}
	return list
}

// CountQuarantined returns the number of contents and of scopes that are quarantined.
func (reg *Registry) CountQuarantined() (contents, scopes int) {
	for _, e := range reg.entries {
		switch {
		case !reg.isQuarantined(e):
		case e.IsScope:
			scopes++
		default:
			contents++
		}
	}
	return contents, scopes
}

// isQuarantined reports whether the crashes of an entry suffice for a quarantine: those of a content that no blamed part
// of prompts explains. Those of a scope must also be sequential, happen while running different contents, and not be
// explained by any narrower scope.
func (reg *Registry) isQuarantined(e *entry) bool {
	if e.Kind == PartScope {
		return slices.ContainsFunc(reg.blamedParts(), func(g partGroup) bool { return slices.Contains(g.members, e) })
	}
	if len(e.Crashes) < reg.opts.Threshold {
		return false
	}
	crashes := reg.unexplainedCrashes(e)
	if !e.IsScope {
		return len(crashes) >= reg.opts.Threshold
	}
	return len(crashes) >= reg.opts.Threshold && countContents(crashes) >= minScopeContents && countSequential(crashes) >= reg.opts.Threshold
}

// CrashCount returns the number of crashes in the record of a content or scope; 0 if it has no record.
func (reg *Registry) CrashCount(f Fingerprint) int {
	if e, ok := reg.entries[f]; ok {
		return len(e.Crashes)
	}
	return 0
}

// activeEntry returns the entry of a content or scope if it is quarantined, and nil otherwise. The quarantine
// ends when the last crash or rejected request is more than Options.Hold ago; Expire discards the record
// later.
func (reg *Registry) activeEntry(now time.Time, f Fingerprint) *entry {
	e, ok := reg.entries[f]
	if !ok || !reg.isQuarantined(e) || now.Sub(e.LastSeen) > reg.opts.Hold {
		return nil
	}
	return e
}

// Check reports whether a request with the content or of the scope f must not be sent. It updates LastSeen if f is
// quarantined. A quarantined request may be sent when a trial is due.
func (reg *Registry) Check(now time.Time, f Fingerprint) (isQuarantined bool) {
	e := reg.activeEntry(now, f)
	if e == nil {
		return false
	}
	reg.noteSeen(now, e)
	return !reg.canAdmitTrial(now, e)
}

// noteSeen notes that a request with a quarantined content or of a quarantined scope has come.
func (reg *Registry) noteSeen(now time.Time, e *entry) {
	e.LastSeen = later(e.LastSeen, now)
	if e.LastSeen.Sub(e.announcedLastSeen) > reg.renewInterval() {
		reg.scheduleAnnouncement(now, e)
	}
}

// noteTrial notes that a request is sent as a trial, and schedules the record to be sent to peers.
func (reg *Registry) noteTrial(now time.Time, e *entry) {
	e.LastTrial = now.Truncate(time.Millisecond)
	reg.scheduleTrial(e)
	reg.scheduleAnnouncement(now, e)
}

// Admit is Check for a request that the caller sends immediately unless isQuarantined is true. isTrial reports
// whether the request is sent as a trial; the trial is then noted and scheduled to be sent to peers.
func (reg *Registry) Admit(now time.Time, f Fingerprint) (isQuarantined, isTrial bool) {
	if reg.Check(now, f) {
		return true, false
	}
	e := reg.activeEntry(now, f)
	if e == nil {
		return false, false
	}
	reg.noteTrial(now, e)
	return false, true
}

// canAdmitTrial reports whether a request with the quarantined content or of the quarantined scope may be
// sent now, to find out whether it causes the crashes. Trials of a content are allowed until as many crashes
// as Options.Threshold are sequential or the record has MaxCrashes: the other crashes may have happened
// simultaneously for an unrelated reason. A target that serves the request clears the content. Trials of a
// scope are always allowed. In both cases the next trial must wait until trialAt.
func (reg *Registry) canAdmitTrial(now time.Time, e *entry) bool {
	if e.IsScope {
		return !now.Before(e.trialAt)
	}
	return e.countSequential() < reg.opts.Threshold && len(e.Crashes) < MaxCrashes && !now.Before(e.trialAt)
}

// scheduleTrial sets trialAt, from which this gateway may send a request as a trial. The gateway that sends
// the first trial sends the record with the new LastTrial to the others, which then wait as well.
func (reg *Registry) scheduleTrial(e *entry) {
	delay := trialDelay
	var lastCrashAt time.Time
	if len(e.Crashes) > 0 {
		lastCrashAt = e.Crashes[0].BrokenAt
	}
	if e.LastTrial.After(lastCrashAt) {
		delay = trialTimeout
	}
	last, jitter := later(lastCrashAt, e.LastTrial), reg.trialJitter()
	switch {
	case e.Kind == PartScope:
		delay = reg.partTrialDelay(e, e.LastTrial.After(lastCrashAt))
	case e.IsScope:
		e.soundTrialAt = last.Add(max(delay, reg.scopeTrialDelay(e, trialDelay)) + jitter)
		delay = reg.scopeTrialDelay(e, minScopeTrialDelay)
	}
	e.trialAt = last.Add(delay + jitter)
}

// trialJitter returns the duration to add to a delay before a trial; see Options.Jitter.
func (reg *Registry) trialJitter() time.Duration {
	if reg.opts.Jitter == nil {
		return 0
	}
	return reg.opts.Jitter()
}

// renewInterval returns by how much LastSeen may exceed announcedLastSeen before the record is sent to peers
// again.
func (reg *Registry) renewInterval() time.Duration {
	return time.Duration(renewFraction * float64(reg.opts.Hold))
}

// NoteCrash adds the crash of a target while it ran a request with the content f. It reports whether the crash
// was not known before.
func (reg *Registry) NoteCrash(now time.Time, f Fingerprint, c Crash) (isNew bool) {
	return reg.noteCrash(now, reg.getOrCreateEntry(f, SharedScope), c)
}

// noteCrash adds a crash to an entry and schedules the record to be sent and written if the crash was not
// known before, which it reports.
func (reg *Registry) noteCrash(now time.Time, e *entry, c Crash) (isNew bool) {
	c.PrecedingCrashes, c.notedAt = e.countNotedBefore(c.BeganAt), now
	previousCount := len(e.Crashes)
	e.merge(Record{Content: e.Content, LastSeen: now.Truncate(time.Millisecond), Crashes: []Crash{c}})
	reg.changes++ // also if the crash is known: its times may have changed
	if len(e.Crashes) == previousCount {
		return false
	}
	reg.scheduleTrial(e)
	reg.scheduleAnnouncement(now, e)
	return true
}

// NoteServed notes that a target has served a request with the content f. It reports whether this cleared any
// crashes of the content.
func (reg *Registry) NoteServed(now time.Time, f Fingerprint) (hasCleared bool) {
	e, ok := reg.entries[f]
	if !ok || len(e.Crashes) == 0 {
		return false
	}
	reg.clear(now, e)
	return true
}

// clear sets ClearedAt of an entry to now, which removes its crashes, and schedules it to be sent and written.
func (reg *Registry) clear(now time.Time, e *entry) {
	// Records are sent with times in milliseconds: with the same precision here, all gateways store the same
	// time.
	e.merge(Record{Content: e.Content, ClearedAt: now.Truncate(time.Millisecond)})
	reg.changes++
	reg.scheduleAnnouncement(now, e)
}

// ApplyPeer merges a record that was received from a peer, and reports whether the record added information.
// The record is not forwarded to other peers: its sender sends it to all gateways, and if each of them
// forwarded it, the number of messages would grow with the square of the number of gateways. The sender also
// writes the record to the store; this gateway does so at storeBy unless it has read the record from the
// store by then.
func (reg *Registry) ApplyPeer(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if reg.isExpired(now, r) {
		return false
	}
	e := reg.getOrCreateEntry(r.Content, r.Kind)
	e.cancelPassIfKnown(r)
	if e.covers(r, reg.renewInterval()) {
		return false
	}
	e.merge(r)
	reg.changes++
	reg.applyOwnPass(now, e, r)
	e.announcedLastSeen = later(e.announcedLastSeen, r.LastSeen)
	reg.scheduleTrial(e)
	reg.scheduleWrite(e, storeBy)
	return true
}

// ApplyStored merges the newest record of a content or scope that was read from the store, and reports whether
// it added information. If this registry has information that the stored record lacks, the record is scheduled
// to be written at storeBy.
func (reg *Registry) ApplyStored(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if reg.isExpired(now, r) {
		return false
	}
	e := reg.getOrCreateEntry(r.Content, r.Kind)
	e.stored = r.clone()
	isNew = !e.covers(r, 0)
	e.merge(r)
	reg.changes++
	reg.applyOwnPass(now, e, r)
	e.announcedLastSeen = later(e.announcedLastSeen, r.LastSeen)
	if isNew {
		reg.scheduleTrial(e)
	}
	e.writeAt = time.Time{}
	reg.scheduleWrite(e, storeBy)
	return isNew
}

// DropStored notes that the store no longer holds a record of the content or scope f. If this registry still
// has a record of it, that is scheduled to be written again at storeBy.
func (reg *Registry) DropStored(f Fingerprint, storeBy time.Time) {
	if e, ok := reg.entries[f]; ok {
		e.stored = Record{Content: f}
		reg.scheduleWrite(e, storeBy)
	}
}

// getOrCreateEntry returns the entry of the content or scope f, whose kind counts only if it is PartScope. If there is
// none, it creates one, and evicts another if there are already maxRecords, or maxPartRecords of parts.
func (reg *Registry) getOrCreateEntry(f Fingerprint, kind ScopeKind) *entry {
	if e, ok := reg.entries[f]; ok {
		return e
	}
	isPart := kind == PartScope
	if isPart && reg.partCount >= maxPartRecords || !isPart && len(reg.entries)-reg.partCount >= maxRecords {
		reg.evict(isPart)
	}
	e := &entry{Record: Record{Content: f, IsScope: isPart}, stored: Record{Content: f}}
	if isPart {
		e.Kind = PartScope
		reg.partCount++
	}
	reg.entries[f] = e
	return e
}

// evict removes the entry with the fewest crashes, of a part or of anything else; of several such entries, the one with
// the oldest LastSeen.
func (reg *Registry) evict(isPart bool) {
	var evicted *entry
	for _, e := range reg.entries {
		if (e.Kind == PartScope) != isPart {
			continue
		}
		if evicted == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(evicted.Crashes)), e.LastSeen.Compare(evicted.LastSeen)) < 0 {
			evicted = e
		}
	}
	reg.remove(evicted)
}

// remove removes an entry.
func (reg *Registry) remove(e *entry) {
	if e.Kind == PartScope {
		reg.partCount--
	}
	delete(reg.entries, e.Content)
	reg.changes++
}

// Expire discards the expired records and returns the fingerprints of those that the store still holds, so
// that the caller can remove them there.
func (reg *Registry) Expire(now time.Time) (stored []Fingerprint) {
	for f, e := range reg.entries {
		if !reg.isExpired(now, e.Record) {
			continue
		}
		if !e.stored.LastSeen.IsZero() {
			stored = append(stored, f)
		}
		reg.remove(e)
	}
	return stored
}

// isExpired reports whether a record is no longer needed. A record with at least Options.Threshold crashes is kept
// for Options.Hold after the later of LastSeen and ClearedAt, any other for suspectRetention. LastSeen at other
// gateways may be up to renewInterval later than in the record, so the hold is extended by that.
func (reg *Registry) isExpired(now time.Time, r Record) bool {
	retention := suspectRetention
	if len(r.Crashes) >= reg.opts.Threshold {
		retention = reg.opts.Hold + reg.renewInterval()
	}
	return now.Sub(later(r.LastSeen, r.ClearedAt)) > retention
}
