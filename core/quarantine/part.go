package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"arbutusramp/core/serving"
)

const (
	// maxPartTrials is how many crashes beyond Options.Threshold a blamed part may cause until no more trials are sent,
	// but for a single late one.
	maxPartTrials = 2
	// lateTrialDelay is the delay before the late trial, after the last crash and the last trial. Until then targets that
	// have crashed for another reason are back.
	lateTrialDelay = time.Minute
	// mixedTrialDelay is the delay after which a trial may have other parts with crashes. What crashes its target may be
	// one of those, and then the trial says nothing about the blamed part.
	mixedTrialDelay = 5 * time.Second
	// maxTrialLead is how long before a trial is noted its run may have begun. Until a trial, the part is blocked for longer.
	maxTrialLead = 100 * time.Millisecond
	// minCrashGap is the time between two crashes from which they count as separate events. Targets that are lost together
	// for another reason are lost at the same time.
	minCrashGap = 20 * time.Millisecond
	// maxPartRecords bounds the number of records of parts, in addition to the other ones.
	maxPartRecords = 1024
	// passAge is by how much a pass must be later than the one that peers know of, to be sent to them.
	passAge = 30 * time.Second
	// MaxPassDelay is the maximum of the random delay before a pass of a part is sent to peers that have only heard of its
	// crashes: many gateways know of one, and the others need not send theirs.
	MaxPassDelay = 200 * time.Millisecond
)

// KindPart is the Block.Kind of a part of prompts.
const KindPart = "part"

// partScope is the first part of the fingerprints of parts of prompts; see similarScope.
const partScope = "\x00part"

// partFingerprints returns the fingerprints of the parts of a prompt, in their order: each part within the workspace and
// the model.
func partFingerprints(workspace string, p serving.Prompt) []Fingerprint {
	list := make([]Fingerprint, 0, len(p.Parts))
	for _, id := range p.Parts {
		list = append(list, hashParts(nil, partScope, workspace, p.Model, id))
	}
	return list
}

// partGroup is a blamed part of prompts, or several parts under which the same targets have crashed. Nothing tells these
// apart: only requests that have all of them are blocked, and any other one that passes or crashes decides between them.
type partGroup struct {
	members []*entry
	crashes []Crash // the same for each member
}

// hasPassed reports whether runs with a part have passed before its crashes.
func (e *entry) hasPassed() bool { return !e.ClearedAt.IsZero() }

// id identifies the crash among those of all parts.
func (c Crash) id() uint64 {
	if c.StartDigest != 0 {
		return c.StartDigest
	}
	return c.TargetDigest
}

// blamedParts returns the parts to which crashes are attributed, as the smallest explanation: parts that have never passed
// come first, then those with more crashes; a crash that is explained by a part says nothing about the others that the
// target was running.
func (reg *Registry) blamedParts() []partGroup {
	if reg.partsAt == reg.changes {
		return reg.parts
	}
	reg.parts, reg.partsAt = nil, reg.changes
	explained := make(map[uint64]bool)
	for _, g := range reg.partGroups() {
		rest := slices.DeleteFunc(slices.Clone(g.crashes), func(c Crash) bool { return explained[c.id()] })
		if !reg.isEvident(rest, g.members[0].hasPassed()) {
			continue
		}
		for _, c := range g.crashes {
			explained[c.id()] = true
		}
		reg.parts = append(reg.parts, g)
	}
	return reg.parts
}

// partGroups returns the parts with enough crashes, those with the same crashes together, the most suspect ones first.
func (reg *Registry) partGroups() []partGroup {
	byCrashes := make(map[string]*partGroup)
	for _, e := range reg.entries {
		if e.Kind != PartScope || len(e.Crashes) < reg.opts.Threshold {
			continue
		}
		key := crashSetKey(e)
		if byCrashes[key] == nil {
			byCrashes[key] = &partGroup{crashes: e.Crashes}
		}
		byCrashes[key].members = append(byCrashes[key].members, e)
	}
	groups := make([]partGroup, 0, len(byCrashes))
	for _, g := range byCrashes {
		slices.SortFunc(g.members, func(a, b *entry) int { return slices.Compare(a.Content[:], b.Content[:]) })
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(a, b partGroup) int {
		first, second := a.members[0], b.members[0]
		if first.hasPassed() != second.hasPassed() {
			if second.hasPassed() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(first.Content[:], second.Content[:]))
	})
	return groups
}

// crashSetKey is the same for two parts if the same targets have crashed under them and both or neither have passed.
func crashSetKey(e *entry) string {
	ids := make([]uint64, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		ids = append(ids, c.id())
	}
	slices.Sort(ids)
	var b strings.Builder
	if e.hasPassed() {
		b.WriteByte(1)
	}
	for _, id := range ids {
		b.Write(binary.BigEndian.AppendUint64(nil, id))
	}
	return b.String()
}

// isEvident reports whether crashes suffice to blame a part. A part that has passed before is more likely to have been
// under way where targets were lost for another reason: its crashes must be sequential. For others it is enough that the
// targets were not lost at the same time.
func (reg *Registry) isEvident(crashes []Crash, hasPassed bool) bool {
	if len(crashes) < reg.opts.Threshold || countContents(crashes) < minScopeContents {
		return false
	}
	if hasPassed {
		return countSequential(crashes) >= reg.opts.Threshold
	}
	return countSeparate(crashes) >= reg.opts.Threshold
}

// countSeparate returns how many crashes have at least minCrashGap between one another.
func countSeparate(list []Crash) int {
	crashes := slices.SortedFunc(slices.Values(list), func(a, b Crash) int { return a.BrokenAt.Compare(b.BrokenAt) })
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.BrokenAt.Sub(last) >= minCrashGap {
			n, last = n+1, c.BrokenAt
		}
	}
	return n
}

// blamedIn returns the blamed groups of which a request has all parts.
func (reg *Registry) blamedIn(now time.Time, s Subject) []partGroup {
	if len(s.Parts) == 0 {
		return nil
	}
	var list []partGroup
	for _, g := range reg.blamedParts() {
		if now.Sub(g.members[0].LastSeen) <= reg.opts.Hold && !slices.ContainsFunc(g.members, func(e *entry) bool { return !slices.Contains(s.Parts, e.Content) }) {
			list = append(list, g)
		}
	}
	return list
}

// blockingPart returns the blamed part because of which a request must not be sent now. It updates LastSeen of each blamed
// part that the request has.
func (reg *Registry) blockingPart(now time.Time, s Subject) (b Block, isBlocked bool) {
	for _, g := range reg.blamedIn(now, s) {
		for _, e := range g.members {
			reg.noteSeen(now, e)
		}
		if !isBlocked && !reg.canAdmitPartTrial(now, g, s) {
			first := g.members[0]
			b, isBlocked = Block{Scope: first.Content, Kind: KindPart, Crashes: len(g.crashes), Until: first.trialAt, Part: slices.Index(s.Parts, first.Content)}, true
		}
	}
	return b, isBlocked
}

// canAdmitPartTrial reports whether a request with blamed parts may be sent now, to find out whether these cause the
// crashes: a few times at first, and once more after lateTrialDelay, in case that the targets crashed for another reason.
func (reg *Registry) canAdmitPartTrial(now time.Time, g partGroup, s Subject) bool {
	first := g.members[0]
	switch {
	case now.Before(first.trialAt):
		return false
	case reg.isClosed(first):
		return !hasLateCrash(g.crashes)
	case reg.isClean(s, g):
		return true
	}
	return now.Sub(later(first.LastTrial, g.crashes[0].BrokenAt)) >= mixedTrialDelay
}

// isClosed reports whether a part has crashed so many targets that trials with it are over, but for the late one. The last
// trial must have been one of them: where nothing has passed yet, many targets may crash together under a part that all
// requests share before any trial, and a trial may end without a result for another reason.
func (reg *Registry) isClosed(e *entry) bool {
	return len(e.Crashes) >= reg.opts.Threshold+maxPartTrials && slices.ContainsFunc(e.Crashes, e.isOfLastTrial)
}

// isOfLastTrial reports whether a crash happened during the last trial or a later run.
func (e *entry) isOfLastTrial(c Crash) bool {
	return !e.LastTrial.IsZero() && c.BrokenAt.After(e.LastTrial) && !c.BeganAt.Add(maxTrialLead).Before(e.LastTrial)
}

// hasLateCrash reports whether a target has crashed in a late trial.
func hasLateCrash(crashes []Crash) bool {
	for i := 1; i < len(crashes); i++ { // newest first
		if crashes[i-1].BrokenAt.Sub(crashes[i].BrokenAt) >= lateTrialDelay {
			return true
		}
	}
	return false
}

// isClean reports whether no other parts of a request may be to blame for crashes.
func (reg *Registry) isClean(s Subject, g partGroup) bool {
	return !slices.ContainsFunc(s.Parts, func(part Fingerprint) bool {
		isMember := slices.ContainsFunc(g.members, func(e *entry) bool { return e.Content == part })
		return !isMember && reg.isDoubtful(part)
	})
}

// isDoubtful reports whether a part may be to blame for crashes: targets have crashed under it, and it has not passed
// before, or not each of the crashes was under another part that has never passed.
func (reg *Registry) isDoubtful(part Fingerprint) bool {
	e, ok := reg.entries[part]
	if !ok || len(e.Crashes) == 0 {
		return false
	}
	if !e.hasPassed() {
		return true
	}
	unpassed := reg.unpassedCrashes()
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return !unpassed[c.id()] })
}

// unpassedCrashes returns the ids of the crashes under parts that have never passed.
func (reg *Registry) unpassedCrashes() map[uint64]bool {
	if reg.unpassedAt == reg.changes {
		return reg.unpassed
	}
	reg.unpassed, reg.unpassedAt = make(map[uint64]bool), reg.changes
	for _, e := range reg.entries {
		if e.Kind != PartScope || e.hasPassed() {
			continue
		}
		for _, c := range e.Crashes {
			reg.unpassed[c.id()] = true
		}
	}
	return reg.unpassed
}

// canAdmitSoundTrial reports whether a request may be sent as a trial of a quarantined scope, earlier than others, since
// none of the parts of its prompt may be to blame. A scope whose crashes are those of a few parts or contents is cleared
// by it before these are found.
func (reg *Registry) canAdmitSoundTrial(now time.Time, e *entry, s Subject) bool {
	return len(s.Parts) > 0 && !now.Before(e.soundTrialAt) && !slices.ContainsFunc(s.Parts, reg.isDoubtful)
}

// admitParts notes a request that is sent as a trial of the blamed parts that it has. It reports whether there are any.
func (reg *Registry) admitParts(now time.Time, s Subject) (isTrial bool) {
	for _, g := range reg.blamedIn(now, s) {
		for _, e := range g.members {
			reg.noteTrial(now, e)
		}
		isTrial = true
	}
	return isTrial
}

// partTrialDelay is the delay before the next trial of a part, after its last crash and its last trial.
func (reg *Registry) partTrialDelay(e *entry, isTrialPending bool) time.Duration {
	switch {
	case reg.isClosed(e):
		return lateTrialDelay
	case isTrialPending:
		return trialTimeout
	}
	return trialDelay
}

// notePartCrash adds a crash to the records of the parts of a request, except those with which another run has passed
// since the run began: they do not crash targets.
func (reg *Registry) notePartCrash(now time.Time, s Subject, c Crash) {
	for _, part := range s.Parts {
		passedAt := reg.opts.Passes.Last(part)
		if !passedAt.Before(c.BeganAt) && !passedAt.IsZero() {
			continue
		}
		e := reg.getOrCreateEntry(part, PartScope)
		e.IsScope, e.Kind = true, PartScope
		e.merge(Record{Content: part, ClearedAt: passedAt.Truncate(time.Millisecond)})
		reg.noteCrash(now, e, c)
	}
}

// notePartsPassed notes a pass of the parts of a request, and reports whether that has cleared crashes of any.
func (reg *Registry) notePartsPassed(now time.Time, s Subject) (isNew bool) {
	at := now
	if !s.AnsweredAt.IsZero() {
		at = s.AnsweredAt
	}
	for _, part := range s.Parts {
		e, ok := reg.entries[part]
		if !ok || len(e.Crashes) == 0 {
			continue
		}
		crashCount := len(e.Crashes)
		e.merge(Record{Content: part, ClearedAt: at.Truncate(time.Millisecond)})
		reg.changes++
		if len(e.Crashes) < crashCount {
			reg.scheduleAnnouncement(now, e)
			isNew = true
		}
	}
	return isNew
}

// applyOwnPass adds what this process knows of passes of a part to the record of which peers or the store have sent
// received. If that is news to them, and the part has several crashes, it is sent after a random delay, unless a peer is
// first.
func (reg *Registry) applyOwnPass(now time.Time, e *entry, received Record) {
	if e.Kind != PartScope {
		return
	}
	if passedAt := reg.opts.Passes.Last(e.Content).Truncate(time.Millisecond); passedAt.After(e.ClearedAt) {
		e.merge(Record{Content: e.Content, ClearedAt: passedAt})
		reg.changes++
	}
	isNews := e.ClearedAt.After(received.ClearedAt.Add(passAge))
	if !isNews || len(received.Crashes) < 2 || !e.sendAt.IsZero() {
		return
	}
	reg.scheduleAnnouncement(now, e)
	if reg.opts.PassDelay != nil {
		e.sendAt, e.isPassPending = now.Add(reg.opts.PassDelay()), true
	}
}

// cancelPassIfKnown cancels the message with a pass of a part if the record that a peer has sent shows that peers know of
// one that is hardly older.
func (e *entry) cancelPassIfKnown(received Record) {
	if e.isPassPending && received.ClearedAt.Add(passAge).After(e.ClearedAt) {
		e.sendAt, e.isPassPending = time.Time{}, false
	}
}
