package engine

import "time"

// batch is the engine's scheduler: a state machine without clock, socket or
// goroutine. begin starts a step and says how long it takes; finish applies it.
type batch struct {
	opts    Options
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	kept    *lru[kvCache] // by content

	started  func(*sequence) // called when a sequence joins the running batch
	prefills []int           // prefill tokens of the present step, by index in running
	totals   Totals
}

// Totals count what the engine has done.
type Totals struct {
	Steps         int64 `json:"steps"`
	Tokens        int64 `json:"tokens"`
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"` // of prompts that needed no prefill
	Finished      int64 `json:"finished"`
	Cancels       int64 `json:"cancels"`
}

// step is one step of the batch.
type step struct {
	duration time.Duration
	poisoned bool // a crash item is in the batch
}

func newBatch(o Options, started func(*sequence), event func(prefix uint64, added bool)) *batch {
	return &batch{
		opts:    o,
		cache:   newPrefixCache(o.CacheBlocks, event),
		kept:    newLRU[kvCache](o.KeepKV),
		started: started,
	}
}

// add appends s to the waiting queue.
func (b *batch) add(s *sequence) { b.waiting = append(b.waiting, s) }

// begin drops what was cancelled, admits from the waiting queue in arrival
// order, and deals out the step's prefill tokens. It returns false when there is nothing to do.
func (b *batch) begin() (step, bool) {
	b.dropCancelled()
	b.admit()
	if len(b.running) == 0 {
		return step{}, false
	}
	done := b.dealPrefill()
	st := step{duration: b.opts.StepTime(len(b.running), done)}
	for _, s := range b.running {
		st.poisoned = st.poisoned || s.poison == PoisonCrash
	}
	return st, true
}

func (b *batch) admit() {
	n := min(len(b.waiting), b.opts.MaxRunning-len(b.running))
	for _, s := range b.waiting[:n] {
		s.prefill = b.prefillOf(s)
		b.running = append(b.running, s)
		b.started(s)
	}
	clear(b.waiting[:n])
	b.waiting = b.waiting[n:]
}

// prefillOf returns the tokens that s needs before its next one. A resumed
// sequence pays for its prompt and for what was generated before, unless its KV cache was kept.
func (b *batch) prefillOf(s *sequence) int {
	if kept, ok := b.kept.get(s.content); ok && s.from > 0 && kept.Tokens >= s.prompt+s.from {
		b.totals.CachedTokens += int64(s.prompt + s.from)
		return 1
	}
	cached := b.cache.cached(s.prefixes) * tokensPerBlock
	b.totals.CachedTokens += int64(cached)
	return max(1, s.prompt+s.from-cached)
}

func (b *batch) dealPrefill() (done int) {
	b.prefills = b.prefills[:0]
	for _, s := range b.running {
		n := min(s.prefill, b.opts.PrefillChunk-done)
		b.prefills = append(b.prefills, n)
		done += n
	}
	b.totals.PrefillTokens += int64(done)
	return done
}

// finish applies the step that begin started: prefill advances, and each sequence whose
// prefill is done gets one token.
func (b *batch) finish() {
	b.totals.Steps++
	left := b.running[:0]
	for i, s := range b.running {
		if b.advance(s, b.prefills[i]) {
			left = append(left, s)
		}
	}
	clear(b.running[len(left):])
	b.running = left
}

// advance applies a step to s and reports whether it stays in the batch.
func (b *batch) advance(s *sequence, prefilled int) bool {
	if s.prefill > 0 {
		s.prefill -= prefilled
		if s.prefill > 0 {
			return true
		}
		b.cache.add(s.prefixes)
	}
	if s.poison == PoisonHang {
		return true
	}
	next := s.next.Add(1)
	b.totals.Tokens++
	if int(next) < s.max {
		s.notify()
		return true
	}
	b.totals.Finished++
	s.end(sequenceFinished)
	return false
}

func (b *batch) dropCancelled() {
	b.waiting = b.withoutCancelled(b.waiting)
	b.running = b.withoutCancelled(b.running)
}

func (b *batch) withoutCancelled(seqs []*sequence) []*sequence {
	left := seqs[:0]
	for _, s := range seqs {
		if !s.cancelled {
			left = append(left, s)
			continue
		}
		b.keep(s)
	}
	clear(seqs[len(left):])
	return left
}

// keep keeps the KV cache of a cancelled sequence.
func (b *batch) keep(s *sequence) {
	if int(s.next.Load()) > s.from && s.prefill <= 0 {
		b.kept.put(s.content, s.kv())
	}
}

// cancel marks the streams of a request; attempt "" means all of them. They keep their
// places until the next step. It returns how many were marked.
func (b *batch) cancel(id, attempt string) (n int) {
	for _, seqs := range [][]*sequence{b.waiting, b.running} {
		for _, s := range seqs {
			if s.id == id && (attempt == "" || s.attempt == attempt) {
				n += b.cancelOne(s)
			}
		}
	}
	return n
}

func (b *batch) cancelOne(s *sequence) int {
	if s.cancelled || s.state.Load() != int32(sequenceOpen) {
		return 0
	}
	s.cancelled = true
	b.totals.Cancels++
	s.end(sequenceStopped)
	return 1
}

// crash forgets all sequences and all memory.
func (b *batch) crash() {
	for _, s := range b.waiting {
		s.end(sequenceStopped)
	}
	for _, s := range b.running {
		s.end(sequenceStopped)
	}
	b.waiting = nil
	b.running = nil
	b.cache = newPrefixCache(b.opts.CacheBlocks, b.cache.event)
	b.kept = newLRU[kvCache](b.opts.KeepKV)
}
