package mix

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
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
)

var simRoute uint64 = 7

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

	ttft      []float64 // ms
	byCall    map[int]float64
	done      int
	batchDone int
	batchTok  int
	preempts  int
	redo      int
	limits    []int
	violation string
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
	call      int
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
			d.s.redo += q.req.Generated + q.generated
			d.s.after(simWire, func() { d.cancel(q) })
		case admit.Refuse:
			d.s.violation = a.Err.Error()
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

func (d *simSide) arrive(r admit.Request, at time.Duration) { d.arriveCall(r, at, -1) }

func (d *simSide) arriveCall(r admit.Request, at time.Duration, call int) {
	d.nextID++
	r.ID = d.nextID
	d.reqs[r.ID] = &simSeq{req: r, at: at, call: call}
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
			d.s.byCall[q.call] = float64(d.s.now-q.at) / 1e6
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
	if online {
		d.s.done++
	} else if d.s.now >= d.s.begin && d.s.now < d.s.end {
		d.s.batchDone++
	}
	d.act(d.m.Ended(now, q.req.ID, admit.Finished))
}

func (d *simSide) tick() {
	d.s.limits = append(d.s.limits, d.m.Load(d.s.time()).Limit)
	d.act(d.m.Tick(d.s.time()))
	if d.s.now < d.s.end {
		d.s.after(20*time.Millisecond, d.tick)
	}
}

type simResult struct {
	p50, p99  float64
	items     float64 // per second
	tokens    float64
	preempts  int
	redo      int
	limit     [3]int // quantiles of the limit: 1 %, median, 99 %
	completed int
	byCall    map[int]float64
}

func simulate(sh shape, cfg admit.Config, seed uint64, length time.Duration, online, feed bool) simResult {
	s := &sim{begin: simWarm, end: simWarm + length, rng: rand.New(rand.NewPCG(seed, 99)), items: sh.items, feed: feed, byCall: map[int]float64{}}
	for range sh.engines {
		d := &simSide{s: s, m: admit.New(cfg, s.time()), reqs: map[admit.ID]*simSeq{}}
		s.sides = append(s.sides, d)
		s.after(0, d.tick)
	}
	route := rand.New(rand.NewPCG(seed, simRoute))
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
				a.arriveCall(admit.Request{Class: structs.ClassOnline, PromptTokens: len(c.Prompt) / bytesPerToken, MaxTokens: c.Max}, s.now, c.Index)
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
	r := simResult{preempts: s.preempts, redo: s.redo, completed: s.done, byCall: s.byCall}
	if n := len(s.ttft); n > 0 {
		r.p50, r.p99 = s.ttft[n/2], s.ttft[n*99/100]
	}
	slices.Sort(s.limits)
	n := len(s.limits)
	r.limit = [3]int{s.limits[n/100], s.limits[n/2], s.limits[n*99/100]}
	r.items = float64(s.batchDone) / length.Seconds()
	r.tokens = float64(s.batchTok) / length.Seconds()
	return r
}

func (d *simSide) onlineLoad() int {
	return int(d.m.Load(d.s.time()).FirstTokenUs)
}

// printTail shows the calls that make up the product's tail.
func printTail(sh shape, seed uint64, length time.Duration, floor, r simResult) {
	calls := plan(sh, seed, length)
	var ids []int
	for id, v := range r.byCall {
		if v > floor.p99*0.9 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b int) int { return cmp.Compare(r.byCall[b], r.byCall[a]) })
	for _, id := range ids[:min(40, len(ids))] {
		fmt.Printf("      at %6.2f prompt %5d floor %6.1f product %6.1f\n", calls[id].At.Seconds(), len(calls[id].Prompt)/bytesPerToken, floor.byCall[id], r.byCall[id])
	}
}

var simTail = flag.Bool("simtail", false, "print the calls of the tail")

var simSeeds = flag.Int("simseeds", 0, "run the simulation for that many seeds and print figures")

func TestSimFigures(t *testing.T) {
	if *simSeeds == 0 {
		t.Skip("give -simseeds N to print figures")
	}
	length := 60 * time.Second
	for _, name := range []string{"kelpie", "tuulai"} {
		sh := shapes[name]
		for _, h := range simHeadrooms() {
			lines := make([]string, *simSeeds)
			sums := make([][2]float64, *simSeeds)
			var wg sync.WaitGroup
			for i := range *simSeeds {
				wg.Go(func() {
					seed := uint64(i + 1)
					floor := simulate(sh, admit.Config{}, seed, length, true, false)
					alone := simulate(sh, admit.Config{Headroom: 0}, seed, length, false, true)
					u := onlineShare(sh, seed, length)
					r := simulate(sh, admit.Config{Headroom: h}, seed, length, true, true)
					sums[i] = [2]float64{r.p99 / floor.p99, r.tokens / (alone.tokens * (1 - u))}
					lines[i] = fmt.Sprintf("%s h %.2f seed %d floor %.0f/%.0f product %.0f/%.0f u %.3f harm %.3f share %.3f (items %.3f) preempts %d redo %d limit %v\n", name, h, seed, floor.p50, floor.p99, r.p50, r.p99, u, sums[i][0], sums[i][1], r.items/(alone.items*(1-u)), r.preempts, r.redo, r.limit)
					if *simTail && i == 0 {
						printTail(sh, seed, length, floor, r)
					}
				})
			}
			wg.Wait()
			var harm, share, worst float64
			for i := range lines {
				if testing.Verbose() {
					fmt.Print(lines[i])
				}
				harm += sums[i][0] / float64(len(sums))
				share += sums[i][1] / float64(len(sums))
				worst = max(worst, sums[i][0])
			}
			fmt.Printf("%s h %.2f: harm %.3f (worst %.3f) share %.3f\n", name, h, harm, worst, share)
		}
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

func simHeadrooms() []float64 {
	if s := os.Getenv("HS"); s != "" {
		f, _ := strconv.ParseFloat(s, 64)
		return []float64{f}
	}
	return []float64{0, 0.25, 0.5, 0.75, 1}
}

func TestSimNoise(t *testing.T) {
	if *simSeeds == 0 {
		t.Skip("give -simseeds N")
	}
	for _, name := range []string{"kelpie", "tuulai"} {
		for i := range *simSeeds {
			var out []float64
			for r := range uint64(5) {
				simRoute = 7 + r
				out = append(out, simulate(shapes[name], admit.Config{}, uint64(i+1), 60*time.Second, true, false).p99)
			}
			fmt.Println(name, i+1, out)
		}
	}
}
