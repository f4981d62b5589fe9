package mix

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/structs"
)

// The simulation runs the admission policy against the step model of the
// stand-in engine in virtual time: an experiment of 60 s takes well under a second
// and gives the same figures each time.

const (
	simWire       = 500 * time.Microsecond // side to engine, one way
	simPull       = 3 * time.Millisecond   // pull to item
	simBase       = 20 * time.Millisecond
	simPerSeq     = 500 * time.Microsecond
	simPerPrefill = 50 * time.Microsecond
	simChunk      = 512
	simSlots      = 32
	simBlock      = 64
	simWarm       = 10 * time.Second
	simLength     = 60 * time.Second
	routeStream   = 7
)

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type sim struct {
	now    time.Duration
	begin  time.Duration
	end    time.Duration
	seq    int
	events simHeap
	rng    *rand.Rand
	sides  []*simSide
	items  items
	feed   bool

	ttft     []float64 // ms
	batchTok int
	preempts int
	made     int
	refused  string
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *sim) time() time.Time { return time.Unix(0, 0).Add(s.now) }

// simSide is one side with its policy and engine.
type simSide struct {
	s       *sim
	m       *admit.Machine
	reqs    map[admit.ID]*simSeq
	nextID  admit.ID
	waiting []*simSeq
	running []*simSeq
	deals   []int
	busy    bool
	coming  int
}

type simSeq struct {
	req       admit.Request
	at        time.Duration
	prefill   int
	cached    bool // the prompt is in the prefix cache
	generated int  // by this run
	cancelled bool
}

func (d *simSide) act(as []admit.Action) {
	for _, a := range as {
		q := d.reqs[a.ID]
		switch a.Kind {
		case admit.Start:
			d.s.after(simWire, func() { d.admit(q) })
		case admit.Preempt:
			d.s.preempts++
			d.s.made += q.req.Generated + q.generated
			d.s.after(simWire, func() { d.cancel(q) })
		case admit.Refuse:
			d.s.refused = a.Err.Error()
		}
	}
	d.pull()
}

func (d *simSide) pull() {
	if !d.s.feed {
		return
	}
	for d.coming < d.m.BatchRoom(d.s.time()) {
		d.coming++
		d.s.after(simPull, func() {
			d.coming--
			d.arrive(admit.Request{
				Class:        structs.ClassBatch,
				PromptTokens: d.s.items.prompt.draw(d.s.rng),
				MaxTokens:    d.s.items.answer.draw(d.s.rng),
			}, d.s.now)
		})
	}
}

func (d *simSide) arrive(r admit.Request, at time.Duration) {
	d.nextID++
	r.ID = d.nextID
	d.reqs[r.ID] = &simSeq{req: r, at: at}
	d.act(d.m.Arrive(d.s.time(), r))
}

func (d *simSide) admit(q *simSeq) {
	if q.cancelled {
		return
	}
	d.waiting = append(d.waiting, q)
	if !d.busy {
		d.begin()
	}
}

func (d *simSide) cancel(q *simSeq) {
	if q.cancelled || d.reqs[q.req.ID] == nil {
		return
	}
	q.cancelled = true
	delete(d.reqs, q.req.ID)
	d.act(d.m.Ended(d.s.time(), q.req.ID, admit.Stopped))
	again := q.req
	again.Generated += q.generated
	d.arrive(again, q.at)
	d.reqs[d.nextID].cached = q.cached || q.generated > 0
}

func (d *simSide) begin() {
	d.busy = false
	drop := func(q *simSeq) bool { return q.cancelled }
	d.waiting = slices.DeleteFunc(d.waiting, drop)
	d.running = slices.DeleteFunc(d.running, drop)
	for len(d.waiting) > 0 && len(d.running) < simSlots {
		q := d.waiting[0]
		d.waiting = d.waiting[1:]
		q.prefill = q.req.PromptTokens + q.req.Generated
		if q.cached {
			q.prefill -= q.req.PromptTokens / simBlock * simBlock
		}
		d.running = append(d.running, q)
	}
	if len(d.running) == 0 {
		return
	}
	d.busy = true
	done := 0
	d.deals = d.deals[:0]
	for _, q := range d.running {
		n := min(q.prefill, simChunk-done)
		done += n
		d.deals = append(d.deals, n)
	}
	took := simBase + time.Duration(len(d.running))*simPerSeq + time.Duration(done)*simPerPrefill
	d.s.after(took, d.finish)
}

func (d *simSide) finish() {
	var left []*simSeq
	for i, q := range d.running {
		if q.prefill > 0 {
			q.prefill -= d.deals[i]
			if q.prefill <= 0 {
				q.cached = true
			}
			if q.prefill > 0 {
				left = append(left, q)
				continue
			}
		}
		q.generated++
		last := q.req.Generated+q.generated >= q.req.MaxTokens
		jitter := time.Duration(d.s.rng.IntN(300)) * time.Microsecond
		gen := q.generated
		d.s.after(simWire+jitter, func() { d.token(q, gen, last) })
		if !last {
			left = append(left, q)
		}
	}
	d.running = left
	d.begin()
}

func (d *simSide) token(q *simSeq, gen int, last bool) {
	if q.cancelled {
		return
	}
	now := d.s.time()
	online := q.req.Class == structs.ClassOnline
	if gen == 1 {
		d.act(d.m.FirstToken(now, q.req.ID))
		if online {
			d.s.ttft = append(d.s.ttft, float64(d.s.now-q.at)/1e6)
		}
	} else {
		d.act(d.m.Token(now, q.req.ID))
	}
	if !online && d.s.now >= d.s.begin && d.s.now < d.s.end {
		d.s.batchTok++
	}
	if !last {
		return
	}
	delete(d.reqs, q.req.ID)
	d.act(d.m.Ended(now, q.req.ID, admit.Finished))
}

func (d *simSide) tick() {
	d.act(d.m.Tick(d.s.time()))
	if d.s.now < d.s.end {
		d.s.after(20*time.Millisecond, d.tick)
	}
}

type simResult struct {
	p50, p99 float64
	tokens   float64
	preempts int
	made     int // tokens that preempted streams had
	refused  string
}

func simulate(sh shape, cfg admit.Config, seed uint64, length time.Duration, online, feed bool) simResult {
	s := &sim{begin: simWarm, end: simWarm + length, rng: rand.New(rand.NewPCG(seed, 99)), items: sh.items, feed: feed}
	for range sh.engines {
		d := &simSide{s: s, m: admit.New(cfg, s.time()), reqs: map[admit.ID]*simSeq{}}
		s.sides = append(s.sides, d)
		s.after(0, d.tick)
	}
	route := rand.New(rand.NewPCG(seed, routeStream))
	if online {
		for _, c := range plan(sh, seed, length) {
			if c.Kind != callStream {
				continue
			}
			s.after(simWarm+c.At, func() {
				a, b := s.sides[route.IntN(len(s.sides))], s.sides[route.IntN(len(s.sides))]
				if b.onlineLoad() < a.onlineLoad() {
					a = b
				}
				a.arrive(admit.Request{Class: structs.ClassOnline, PromptTokens: len(c.Prompt) / bytesPerToken, MaxTokens: c.Max}, s.now)
			})
		}
	}
	for len(s.events) > 0 && s.now < s.end+20*time.Second {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		if s.now > s.end {
			s.feed = false
		}
	}
	slices.Sort(s.ttft)
	r := simResult{refused: s.refused, preempts: s.preempts, made: s.made}
	if n := len(s.ttft); n > 0 {
		r.p50, r.p99 = s.ttft[n/2], s.ttft[n*99/100]
	}
	r.tokens = float64(s.batchTok) / length.Seconds()
	return r
}

func (d *simSide) onlineLoad() int {
	return int(d.m.Load(d.s.time()).FirstTokenUs)
}

// TestPolicyInVirtualTime runs bursts beside an endless backlog.
//
// Symptom: online callers wait in bursts, or batch gets nothing done between them.
// Sequence: quiet times and bursts take turns for a minute; batch fills what is left.
// Cause: the setting moves neither harm nor throughput, preemption comes too late, or
// headroom is not given back.
func TestPolicyInVirtualTime(t *testing.T) {
	const seed = 1
	for name, sh := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			floor := simulate(sh, admit.Config{}, seed, simLength, true, false)
			alone := simulate(sh, admit.Config{}, seed, simLength, false, true)
			idle := alone.tokens * (1 - onlineShare(sh, seed, simLength))
			show := func(what string, cfg admit.Config) (harm, share float64) {
				r := simulate(sh, cfg, seed, simLength, true, true)
				harm, share = r.p99/floor.p99, r.tokens/idle
				t.Logf("%s: harm %.3f share %.3f preempted %d, tokens made before %d", what, harm, share, r.preempts, r.made)
				if r.refused != "" {
					t.Errorf("%s: a request was refused: %s", what, r.refused)
				}
				return harm, share
			}
			latency, latencyShare := show("headroom 1", admit.Config{Headroom: 1})
			_, _ = show("headroom 0.5", admit.Config{Headroom: 0.5})
			throughput, throughputShare := show("headroom 0", admit.Config{Headroom: 0})
			none, _ := show("no preemption", admit.Config{Headroom: 1, NoPreempt: true})
			if latency >= throughput || throughput >= none {
				t.Errorf("harm %.3f, %.3f, %.3f for latency, throughput and no preemption: want it to rise", latency, throughput, none)
			}
			if latencyShare >= throughputShare {
				t.Errorf("batch share %.3f for latency and %.3f for throughput", latencyShare, throughputShare)
			}
			const leastShare = 0.7
			if latencyShare < leastShare {
				t.Errorf("headroom is not given back: share %.3f", latencyShare)
			}
		})
	}
}

// onlineShare is the share of the engines' time that the online calls take at the margin.
func onlineShare(sh shape, seed uint64, length time.Duration) float64 {
	var sum float64
	for _, c := range plan(sh, seed, length) {
		if c.Kind == callStream {
			sum += simPerPrefill.Seconds()*float64(len(c.Prompt)/bytesPerToken) + (simBase/simSlots+simPerSeq).Seconds()*float64(c.Max)
		}
	}
	return sum / length.Seconds() / float64(sh.engines)
}
