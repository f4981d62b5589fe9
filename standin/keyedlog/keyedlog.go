// Package keyedlog is a stand-in of the platform's store in one process: partitions of keyed
// records with conditional and fenced appends, the newest record by key, and groups of members
// among whom partitions are dealt. Each caller has a view of its own whose answers can be lost,
// late or refused. Times are those of package time, so that tests run it under testing/synctest.
package keyedlog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// Store is the state that all views share.
type Store struct {
	parts int // partitions of each topic of a group

	mu     sync.Mutex
	logs   map[platform.Partition]*partition
	groups map[string]*group
	moved  chan struct{} // closed and replaced with each append

	readRate float64   // bytes that all reads together get in a second; 0 is no limit
	readFree time.Time // when the reads that have been asked for are over
}

// partition is one log.
type partition struct {
	first     uint64 // offset of the oldest record that is kept
	records   []platform.StoredRecord
	newest    map[string]platform.StoredRecord
	producers map[string]*producer
}

// producer is what the store knows of one fenced writer.
type producer struct {
	epoch, seq uint64
	fresh      bool // the epoch was set and nothing written since: any number may follow
	recent     map[uint64]platform.Appended
}

// New returns an empty store whose topics have that many partitions.
func New(parts int) *Store {
	return &Store{
		parts: parts, logs: make(map[platform.Partition]*partition),
		groups: make(map[string]*group), moved: make(chan struct{}),
	}
}

// LimitReads lets all reads together have that many bytes a second; 0 is no limit.
func (s *Store) LimitReads(bytesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRate = bytesPerSecond
}

// maxReadQueue is how much time's worth of reads may wait; more are refused.
const maxReadQueue = 2 * time.Second

// reserve takes a place in the queue of reads. It returns how long the answer with these records takes, or false if
// too much waits already.
func (s *Store) reserve(now time.Time, records []platform.StoredRecord) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readRate == 0 {
		return 0, true
	}
	if s.readFree.Before(now) {
		s.readFree = now
	}
	if s.readFree.Sub(now) > maxReadQueue {
		return 0, false
	}
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	s.readFree = s.readFree.Add(time.Duration(float64(size) / s.readRate * float64(time.Second)))
	return s.readFree.Sub(now), true
}

func (s *Store) log(p platform.Partition) *partition {
	l, ok := s.logs[p]
	if !ok {
		l = &partition{newest: make(map[string]platform.StoredRecord), producers: make(map[string]*producer)}
		s.logs[p] = l
	}
	return l
}

func (l *partition) end() uint64 { return l.first + uint64(len(l.records)) }

const (
	// CallBytes is the largest size of the records of one append, with their framing.
	CallBytes = 2 << 20
	// framingBytes is what a record has in a call beside its key and its value: its length and that of the key.
	framingBytes = 5
)

// append does one write. Error: errs.BadRequest for more than CallBytes; nothing is done then.
func (s *Store) append(a platform.Append) (platform.Appended, error) {
	size := 0
	for _, r := range a.Records {
		size += len(r.Key) + len(r.Value) + framingBytes
	}
	if size > CallBytes {
		return platform.Appended{}, errs.Newf(errs.BadRequest, "an append of %d bytes, more than %d", size, CallBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(a.Partition)
	if a.At != nil && *a.At != l.end() {
		return platform.Appended{}, &platform.EndMoved{End: l.end()}
	}
	if done, repeated, err := l.fence(a); err != nil || repeated {
		return done, err
	}
	done := platform.Appended{First: l.end()}
	for _, r := range a.Records {
		l.put(r)
	}
	done.End = l.end()
	if a.Producer != nil && len(a.Records) > 0 {
		l.producers[a.Producer.Name].recent[a.Producer.Seq] = done
	}
	close(s.moved)
	s.moved = make(chan struct{})
	return done, nil
}

// fence checks a write's producer. A repeat of a recent write gets its first answer again.
func (l *partition) fence(a platform.Append) (done platform.Appended, repeated bool, err error) {
	if a.Producer == nil {
		return done, false, nil
	}
	p, ok := l.producers[a.Producer.Name]
	if !ok {
		p = &producer{fresh: true}
		l.producers[a.Producer.Name] = p
	}
	switch {
	case a.Producer.Epoch < p.epoch:
		return done, false, &platform.Fenced{Epoch: a.Producer.Epoch}
	case a.Producer.Epoch > p.epoch:
		*p = producer{epoch: a.Producer.Epoch, fresh: true}
	}
	if p.recent == nil {
		p.recent = make(map[uint64]platform.Appended)
	}
	if len(a.Records) == 0 {
		return platform.Appended{First: l.end(), End: l.end()}, true, nil
	}
	if done, ok := p.recent[a.Producer.Seq]; ok {
		return done, true, nil
	}
	if !p.fresh && a.Producer.Seq != p.seq+1 {
		return done, false, &platform.OutOfSequence{Expected: p.seq + 1}
	}
	p.seq, p.fresh = a.Producer.Seq, false
	return done, false, nil
}

func (l *partition) put(r platform.KeyedRecord) {
	stored := platform.StoredRecord{KeyedRecord: r, Offset: l.end()}
	l.records = append(l.records, stored)
	if len(r.Value) == 0 {
		delete(l.newest, r.Key)
		return
	}
	l.newest[r.Key] = stored
}

// read returns what is there from an offset on, and a channel that the next append closes.
func (s *Store) read(r platform.Read) (platform.Records, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(r.Partition)
	if r.From < l.first {
		return platform.Records{}, nil, &platform.Expired{First: l.first}
	}
	page := platform.Records{End: l.end()}
	if r.From < l.end() {
		page.Records = slices.Clone(l.records[r.From-l.first:])
	}
	return page, s.moved, nil
}

// pageKeys is how many keys a page of the newest records has: few, so that tests meet many pages.
const pageKeys = 7

func (s *Store) newest(p platform.Partition, after string) platform.NewestPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.log(p)
	keys := slices.Sorted(maps.Keys(l.newest))
	i, _ := slices.BinarySearchFunc(keys, after, cmp.Compare[string])
	if i < len(keys) && keys[i] == after {
		i++
	}
	page := platform.NewestPage{End: l.end(), More: len(keys)-i > pageKeys}
	for _, key := range keys[i:min(len(keys), i+pageKeys)] {
		page.Records = append(page.Records, l.newest[key])
	}
	return page
}

// Forget drops the history of every partition; the newest record of each key stays.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.logs {
		l.first = l.end()
		l.records = nil
	}
}

// Records returns all records that a partition has kept, for checks.
func (s *Store) Records(p platform.Partition) []platform.StoredRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log(p).records)
}

// group is a set of members among whom partitions are dealt.
type group struct {
	generation uint64
	members    map[string]*member
	topics     []string
	held       map[platform.Partition]string // by whom, until it has let go
}

type member struct{ until time.Time }

// join deals partitions evenly. One that moves is free once its holder has joined with the
// generation in which it was taken away.
func (s *Store) join(m platform.Membership) platform.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g, ok := s.groups[m.Group]
	if !ok {
		g = &group{members: make(map[string]*member), held: make(map[platform.Partition]string)}
		s.groups[m.Group] = g
	}
	g.topics = m.Topics
	g.expire(now)
	me, ok := g.members[m.Member]
	if !ok {
		me = &member{}
		g.members[m.Member] = me
		g.generation++
	}
	me.until = now.Add(m.TTL)
	plan := g.plan(s.parts)
	if m.Generation == g.generation {
		for p, name := range g.held {
			if name == m.Member && plan[p] != m.Member {
				delete(g.held, p)
			}
		}
	}
	a := platform.Assignment{Generation: g.generation}
	for p, name := range plan {
		holder, taken := g.held[p]
		if name == m.Member && (!taken || holder == m.Member) {
			g.held[p] = m.Member
			a.Held = append(a.Held, p)
		}
	}
	return a
}

// plan says who should hold what.
func (g *group) plan(parts int) map[platform.Partition]string {
	names := slices.Sorted(maps.Keys(g.members))
	plan := make(map[platform.Partition]string)
	n := int(g.generation) // members take turns, so that each change moves partitions
	for _, topic := range g.topics {
		for i := range parts {
			plan[platform.Partition{Topic: topic, Index: i}] = names[n%len(names)]
			n++
		}
	}
	return plan
}

// expire drops members that were silent for too long.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.until) {
			g.drop(name)
		}
	}
}

func (g *group) drop(name string) {
	delete(g.members, name)
	g.generation++
	for p, holder := range g.held {
		if holder == name {
			delete(g.held, p)
		}
	}
}

// Rebalance deals all partitions of all groups anew at once.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.generation++
		clear(g.held)
	}
}
