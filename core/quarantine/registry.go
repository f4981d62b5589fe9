package quarantine

import (
	"cmp"
	"time"
)

const (
	// DefaultThreshold is how many targets may crash while running a content before it is quarantined. With
	// two, more requests that only ran on the same target as the one that causes the crash would be
	// quarantined.
	DefaultThreshold = 3
	// DefaultHold is how long a content stays quarantined after it was last seen.
	DefaultHold = time.Hour
	// maxRecords bounds the number of records, each at most 1.5 kB.
	maxRecords = 1024
	// renewFraction is the fraction of the hold after which a newer Seen is announced again.
	renewFraction = 0.25
	// suspectRetention is how long the record of a content that is not quarantined is kept after its last
	// crash.
	suspectRetention = 10 * time.Minute
	// A record is sent to peers at once, then at intervals that grow from minSendInterval to maxSendInterval
	// by a factor of sendIntervalGrowth.
	minSendInterval    = 150 * time.Millisecond
	maxSendInterval    = time.Minute
	sendIntervalGrowth = 3
	// trialDelay is how long after the last crash a request with a quarantined content may be sent as a
	// trial, if its crashes are no proof.
	trialDelay = 300 * time.Millisecond
	// trialTimeout is the time allowed for the outcome of a trial to become known.
	trialTimeout = 3 * time.Second
)

// Options are the settings of a Registry.
type Options struct {
	Threshold int           // crashes of targets after which a content is quarantined; at most MaxCrashes
	Hold      time.Duration // time after a quarantined content was last seen until its record is discarded
	// Jitter returns a duration that is added to each delay before a trial, so that gateways do not send
	// trials of a content simultaneously. nil adds nothing.
	Jitter func() time.Duration
}

// Registry holds the records of the contents during whose runs targets have crashed. It is not safe for
// concurrent use.
type Registry struct {
	opts    Options
	entries map[Fingerprint]*entry
	// nextSendAt is a time before which no record has to be sent. It saves a scan of the entries, as reports
	// are built many times a second.
	nextSendAt time.Time
}

// entry is the record of one content or scope with its schedule.
type entry struct {
	Record
	// stored is the record that the store is known to hold.
	stored Record
	// writeAt is when the missing information is to be written to the store; zero if nothing is missing.
	writeAt time.Time
	// sendAt is when the record is next sent to peers, sendInterval the interval after that.
	sendAt       time.Time
	sendInterval time.Duration
	// announcedSeen is the latest Seen that was announced or received.
	announcedSeen time.Time
	// trialAt is when this gateway may send the next trial; see canAdmitTrial.
	trialAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	return &Registry{opts: o, entries: make(map[Fingerprint]*entry)}
}

// Len returns the number of records, of contents and scopes.
func (g *Registry) Len() int { return len(g.entries) }

// Records returns copies of all records, in no particular order.
func (g *Registry) Records() []Record {
	list := make([]Record, 0, len(g.entries))
	for _, e := range g.entries {
		list = append(list, e.Record.clone())
	}
	return list
}

// Quarantined returns the number of contents and of scopes that are quarantined.
func (g *Registry) Quarantined() (contents, scopes int) {
	for _, e := range g.entries {
		switch {
		case !g.isQuarantined(e):
		case e.IsScope:
			scopes++
		default:
			contents++
		}
	}
	return contents, scopes
}

func (g *Registry) isQuarantined(e *entry) bool {
	if e.IsScope {
		return len(e.Crashes) >= g.opts.Threshold && e.countContents() >= minScopeContents && e.countSequential() >= g.opts.Threshold
	}
	return len(e.Crashes) >= g.opts.Threshold
}

// Crashes returns the number of known crashes of targets while running a content.
func (g *Registry) Crashes(f Fingerprint) int {
	if e, ok := g.entries[f]; ok {
		return len(e.Crashes)
	}
	return 0
}

// activeEntry returns the entry of a content that is quarantined; nil if it is not. A content that was not
// seen for the hold is no longer quarantined; Expire discards its record.
func (g *Registry) activeEntry(now time.Time, f Fingerprint) *entry {
	e, ok := g.entries[f]
	if !ok || !g.isQuarantined(e) || now.Sub(e.Seen) > g.opts.Hold {
		return nil
	}
	return e
}

// Check reports whether a request with the content must not be sent, and updates Seen if the content is
// quarantined.
func (g *Registry) Check(now time.Time, f Fingerprint) (isQuarantined bool) {
	e := g.activeEntry(now, f)
	if e == nil {
		return false
	}
	e.Seen = later(e.Seen, now)
	if e.Seen.Sub(e.announcedSeen) > g.renewInterval() {
		g.scheduleAnnouncement(now, e)
	}
	return !g.canAdmitTrial(now, e)
}

// Admit is Check for a request that is sent immediately if it is allowed. isTrial reports whether it is sent
// as a trial.
func (g *Registry) Admit(now time.Time, f Fingerprint) (isQuarantined, isTrial bool) {
	if g.Check(now, f) {
		return true, false
	}
	e := g.activeEntry(now, f)
	if e == nil {
		return false, false
	}
	e.Tried = now.Truncate(time.Millisecond)
	g.scheduleTrial(e)
	g.scheduleAnnouncement(now, e)
	return false, true
}

// canAdmitTrial reports whether a request with a quarantined content may be sent to find out whether the
// content causes the crashes. Trials of a content are allowed until as many crashes as the threshold are
// sequential, since the others may have happened simultaneously for an unrelated reason. A target that serves
// the request clears the content. Trials of a scope are always allowed. In both cases the next trial must
// wait until trialAt.
func (g *Registry) canAdmitTrial(now time.Time, e *entry) bool {
	if e.IsScope {
		return !now.Before(e.trialAt)
	}
	return e.countSequential() < g.opts.Threshold && len(e.Crashes) < MaxCrashes && !now.Before(e.trialAt)
}

// scheduleTrial sets when this gateway may send a trial of the content. The gateway that sends one first
// announces it to the others.
func (g *Registry) scheduleTrial(e *entry) {
	if e.IsScope {
		g.scheduleScopeTrial(e)
		return
	}
	delay := trialDelay
	var lastCrash time.Time
	if len(e.Crashes) > 0 {
		lastCrash = e.Crashes[0].At
	}
	if e.Tried.After(lastCrash) {
		delay = trialTimeout
	}
	e.trialAt = later(lastCrash, e.Tried).Add(delay + g.trialJitter())
}

func (g *Registry) trialJitter() time.Duration {
	if g.opts.Jitter == nil {
		return 0
	}
	return g.opts.Jitter()
}

// renewInterval returns by how much Seen may differ from the time that was last announced to other gateways
// without a new announcement.
func (g *Registry) renewInterval() time.Duration {
	return time.Duration(renewFraction * float64(g.opts.Hold))
}

// NoteCrash adds the crash of a target while it ran a request with the content. It reports whether the
// crash is new.
func (g *Registry) NoteCrash(now time.Time, f Fingerprint, c Crash) (isNew bool) {
	return g.noteCrash(now, g.getOrCreateEntry(f), c)
}

func (g *Registry) noteCrash(now time.Time, e *entry, c Crash) (isNew bool) {
	c.Preceding, c.learnedAt = e.countKnownAt(c.Began), now
	previousCount := len(e.Crashes)
	e.merge(Record{Content: e.Content, Seen: now.Truncate(time.Millisecond), Crashes: []Crash{c}})
	if len(e.Crashes) == previousCount {
		return false
	}
	g.scheduleTrial(e)
	g.scheduleAnnouncement(now, e)
	return true
}

// NoteServed notes that a target has served a request with the content. It reports whether crashes of the
// content were cleared.
func (g *Registry) NoteServed(now time.Time, f Fingerprint) (hasCleared bool) {
	e, ok := g.entries[f]
	if !ok || len(e.Crashes) == 0 {
		return false
	}
	g.clear(now, e)
	return true
}

// clear marks an entry as cleared now, which removes its crashes.
func (g *Registry) clear(now time.Time, e *entry) {
	// Times are sent in milliseconds: with the same precision here, all gateways store the same time.
	e.merge(Record{Content: e.Content, Cleared: now.Truncate(time.Millisecond)})
	g.scheduleAnnouncement(now, e)
}

// ApplyPeer merges a record that was received from a peer. It is not forwarded: the peer sends it to all
// others, and forwarding by each of them would make the number of messages grow with the square of the number
// of gateways. The peer also writes it to the store; this gateway does so at storeBy unless it has read the
// record from there by then. It reports whether the record adds information.
func (g *Registry) ApplyPeer(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if g.isExpired(now, r) {
		return false
	}
	e := g.getOrCreateEntry(r.Content)
	if e.covers(r, g.renewInterval()) {
		return false
	}
	e.merge(r)
	e.announcedSeen = later(e.announcedSeen, r.Seen)
	g.scheduleTrial(e)
	g.scheduleWrite(e, storeBy)
	return true
}

// ApplyStored merges the store's newest record of a content. Information that the store lacks is written at
// storeBy. It reports whether the record adds information.
func (g *Registry) ApplyStored(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if g.isExpired(now, r) {
		return false
	}
	e := g.getOrCreateEntry(r.Content)
	e.stored = r.clone()
	isNew = !e.covers(r, 0)
	e.merge(r)
	e.announcedSeen = later(e.announcedSeen, r.Seen)
	if isNew {
		g.scheduleTrial(e)
	}
	e.writeAt = time.Time{}
	g.scheduleWrite(e, storeBy)
	return isNew
}

// DropStored notes that the store no longer has a record of a content. Unless the record expires here as
// well, it is written again at storeBy.
func (g *Registry) DropStored(f Fingerprint, storeBy time.Time) {
	if e, ok := g.entries[f]; ok {
		e.stored = Record{Content: f}
		g.scheduleWrite(e, storeBy)
	}
}

// getOrCreateEntry returns the entry of a content. It creates the entry if there is none.
func (g *Registry) getOrCreateEntry(f Fingerprint) *entry {
	if e, ok := g.entries[f]; ok {
		return e
	}
	if len(g.entries) >= maxRecords {
		g.evict()
	}
	e := &entry{Record: Record{Content: f}, stored: Record{Content: f}}
	g.entries[f] = e
	return e
}

// evict removes the entry with the fewest crashes; among several, the one that was seen least recently.
func (g *Registry) evict() {
	var least *entry
	for _, e := range g.entries {
		if least == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(least.Crashes)), e.Seen.Compare(least.Seen)) < 0 {
			least = e
		}
	}
	delete(g.entries, least.Content)
}

// Expire discards the records of contents that were not seen for too long. It returns those that the store
// still holds.
func (g *Registry) Expire(now time.Time) (stored []Fingerprint) {
	for f, e := range g.entries {
		if !g.isExpired(now, e.Record) {
			continue
		}
		if !e.stored.Seen.IsZero() {
			stored = append(stored, f)
		}
		delete(g.entries, f)
	}
	return stored
}

// isExpired reports whether a record has expired. Other gateways may have seen the content up to
// renewInterval later than the record shows.
func (g *Registry) isExpired(now time.Time, r Record) bool {
	hold := suspectRetention
	if len(r.Crashes) >= g.opts.Threshold {
		hold = g.opts.Hold + g.renewInterval()
	}
	return now.Sub(later(r.Seen, r.Cleared)) > hold
}
