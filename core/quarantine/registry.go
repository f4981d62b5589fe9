package quarantine

import (
	"cmp"
	"time"
)

const (
	// DefaultThreshold is how many targets may crash under a content before it is quarantined. With two, more requests that only ran
	// beside the one to blame would be.
	DefaultThreshold = 3
	// DefaultHold is how long a content stays quarantined after it was last seen.
	DefaultHold = time.Hour
	// maxRecords bounds the contents that are known, at 1.5 kB each at most.
	maxRecords = 1024
	// renewShare is the share of the hold after which a sighting is told to others again.
	renewShare = 0.25
	// suspicionHold is how long a content that is not quarantined stays known after the last crash under it.
	suspicionHold = 10 * time.Minute
	// A record is told to peers at once, and then with pauses that grow from the first to the last of these.
	firstTellPause = 150 * time.Millisecond
	lastTellPause  = time.Minute
	tellGrowth     = 3
	// tryPause is how long after the last crash a request with a quarantined content may be tried, if its crashes are no proof.
	tryPause = 300 * time.Millisecond
	// tryTimeout is how long what comes of a try may take to show.
	tryTimeout = 3 * time.Second
)

// Options are the settings of a Registry.
type Options struct {
	Threshold int           // crashes of targets after which a content is quarantined; at most MaxCrashes
	Hold      time.Duration // from the last sighting of a quarantined content until it is forgotten
	// Jitter returns what comes to each pause before a try, so that not all gateways try a content at once; nil is nothing.
	Jitter func() time.Duration
}

// Registry knows the contents under which targets have crashed. It is not safe for concurrent use.
type Registry struct {
	opts    Options
	entries map[Fingerprint]*entry
	// nextTell is before the first entry has to be told: reports are made many times a second.
	nextTell time.Time
}

// entry is one content or scope.
type entry struct {
	Record
	// stored is what the store is known to hold of the content.
	stored Record
	// writeAt is when the store should get what it lacks; zero if that is nothing.
	writeAt time.Time
	// tellAt is when peers should be told next, tellPause the pause after that.
	tellAt    time.Time
	tellPause time.Duration
	// announced is what was last told of when the content was seen.
	announced time.Time
	// tryAt is when this gateway may try a request with the content; see canTry.
	tryAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	return &Registry{opts: o, entries: make(map[Fingerprint]*entry)}
}

// Len is the number of contents and scopes that are known.
func (g *Registry) Len() int { return len(g.entries) }

// Records returns what is known, in no order.
func (g *Registry) Records() []Record {
	list := make([]Record, 0, len(g.entries))
	for _, e := range g.entries {
		list = append(list, e.Record.clone())
	}
	return list
}

// Quarantined is the number of contents and of scopes that are quarantined.
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
		return len(e.Crashes) >= g.opts.Threshold && e.contents() >= scopeContents && e.inSequence() >= g.opts.Threshold
	}
	return len(e.Crashes) >= g.opts.Threshold
}

// Crashes is the number of targets that are known to have crashed under a content.
func (g *Registry) Crashes(f Fingerprint) int {
	if e, ok := g.entries[f]; ok {
		return len(e.Crashes)
	}
	return 0
}

// inForce returns the entry of a content that is quarantined; nil if it is not. One that was not seen for the hold is dropped by the
// next Expire.
func (g *Registry) inForce(now time.Time, f Fingerprint) *entry {
	e, ok := g.entries[f]
	if !ok || !g.isQuarantined(e) || now.Sub(e.Seen) > g.opts.Hold {
		return nil
	}
	return e
}

// Check says whether a request with the content must not be sent, and notes that it was seen.
func (g *Registry) Check(now time.Time, f Fingerprint) (isQuarantined bool) {
	e := g.inForce(now, f)
	if e == nil {
		return false
	}
	e.Seen = later(e.Seen, now)
	if e.Seen.Sub(e.announced) > g.renewAfter() {
		g.announce(now, e)
	}
	return !g.canTry(now, e)
}

// Admit is Check for a request that is sent now, unless it must not be. It reports whether the request is sent as a try.
func (g *Registry) Admit(now time.Time, f Fingerprint) (isQuarantined, isTry bool) {
	if g.Check(now, f) {
		return true, false
	}
	e := g.inForce(now, f)
	if e == nil {
		return false, false
	}
	e.Tried = now.Truncate(time.Millisecond)
	g.planTry(e)
	g.announce(now, e)
	return false, true
}

// canTry says whether a request with a quarantined content may be sent to find out whether the content is to blame. It may until as many
// crashes as quarantine it have followed on each other: the others may have come together for a reason of their own. A target that
// serves it clears the content. A scope may be tried always.
func (g *Registry) canTry(now time.Time, e *entry) bool {
	if e.IsScope {
		return !now.Before(e.tryAt)
	}
	return e.inSequence() < g.opts.Threshold && len(e.Crashes) < MaxCrashes && !now.Before(e.tryAt)
}

// planTry sets when this gateway may try a request with the content. Whoever tries first tells the others.
func (g *Registry) planTry(e *entry) {
	if e.IsScope {
		g.planScopeTry(e)
		return
	}
	pause := tryPause
	var lastCrash time.Time
	if len(e.Crashes) > 0 {
		lastCrash = e.Crashes[0].At
	}
	if e.Tried.After(lastCrash) {
		pause = tryTimeout
	}
	e.tryAt = later(lastCrash, e.Tried).Add(pause + g.jitter())
}

func (g *Registry) jitter() time.Duration {
	if g.opts.Jitter == nil {
		return 0
	}
	return g.opts.Jitter()
}

// renewAfter is how much later than others know a content may have been seen.
func (g *Registry) renewAfter() time.Duration {
	return time.Duration(renewShare * float64(g.opts.Hold))
}

// NoteCrash notes that a target has crashed under a run with a content. It reports whether that was not known yet.
func (g *Registry) NoteCrash(now time.Time, f Fingerprint, c Crash) (isNew bool) {
	return g.noteCrash(now, g.entry(f), c)
}

func (g *Registry) noteCrash(now time.Time, e *entry, c Crash) (isNew bool) {
	c.Preceding, c.learned = e.precedingAt(c.Began), now
	before := len(e.Crashes)
	e.merge(Record{Content: e.Content, Seen: now.Truncate(time.Millisecond), Crashes: []Crash{c}})
	if len(e.Crashes) == before {
		return false
	}
	g.planTry(e)
	g.announce(now, e)
	return true
}

// NoteServed notes that a target has served a request with the content. It reports whether that clears the content of anything.
func (g *Registry) NoteServed(now time.Time, f Fingerprint) (hasCleared bool) {
	e, ok := g.entries[f]
	if !ok || len(e.Crashes) == 0 {
		return false
	}
	g.clear(now, e)
	return true
}

// clear drops what is known against an entry.
func (g *Registry) clear(now time.Time, e *entry) {
	e.merge(Record{Content: e.Content, Cleared: now.Truncate(time.Millisecond)}) // as it is sent, so that others know the same time
	g.announce(now, e)
}

// ApplyPeer takes in a peer's record. The peer tells all others: told on by each of them, records would take the square of the gateways.
// It also writes it to the store; this gateway does at storeBy unless it has been read from there by then. It reports whether the
// record says something new.
func (g *Registry) ApplyPeer(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if g.isExpired(now, r) {
		return false
	}
	e := g.entry(r.Content)
	if e.covers(r, g.renewAfter()) {
		return false
	}
	e.merge(r)
	e.announced = later(e.announced, r.Seen)
	g.planTry(e)
	g.scheduleWrite(e, storeBy)
	return true
}

// ApplyStored takes in the store's newest record of a content. What it lacks is written at storeBy. It reports whether the record
// says something new.
func (g *Registry) ApplyStored(now time.Time, r Record, storeBy time.Time) (isNew bool) {
	r = r.clamped(now)
	if g.isExpired(now, r) {
		return false
	}
	e := g.entry(r.Content)
	e.stored = r.clone()
	isNew = !e.covers(r, 0)
	e.merge(r)
	e.announced = later(e.announced, r.Seen)
	if isNew {
		g.planTry(e)
	}
	e.writeAt = time.Time{}
	g.scheduleWrite(e, storeBy)
	return isNew
}

// DropStored takes in that the store has no record of a content any more. Unless it has expired here, too, it is written again
// at storeBy.
func (g *Registry) DropStored(f Fingerprint, storeBy time.Time) {
	if e, ok := g.entries[f]; ok {
		e.stored = Record{Content: f}
		g.scheduleWrite(e, storeBy)
	}
}

// entry returns the entry of a content, a new one if there is none.
func (g *Registry) entry(f Fingerprint) *entry {
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

// evict drops the content with the fewest crashes, of several the one that was not seen for longest.
func (g *Registry) evict() {
	var least *entry
	for _, e := range g.entries {
		if least == nil || cmp.Or(cmp.Compare(len(e.Crashes), len(least.Crashes)), e.Seen.Compare(least.Seen)) < 0 {
			least = e
		}
	}
	delete(g.entries, least.Content)
}

// Expire forgets contents that were not seen for long. It returns those that the store still holds.
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

// isExpired says whether a record counts no more. Other gateways may have seen the content later than is known here.
func (g *Registry) isExpired(now time.Time, r Record) bool {
	hold := suspicionHold
	if len(r.Crashes) >= g.opts.Threshold {
		hold = g.opts.Hold + g.renewAfter()
	}
	return now.Sub(later(r.Seen, r.Cleared)) > hold
}
