package side

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/completion"
)

const wholeText = "abcdefgh"

var seeds = flag.Uint64("seeds", 20, "random sequences to run")

// moody is an engine that behaves as a seed says, and notes what it was given.
type moody struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	handed  map[structs.RequestID]int
	stopped map[structs.JobID]bool
	faults  []string
}

func (m *moody) mood() (string, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	moods := []string{"whole", "whole", "whole", "whole", "refuse", "break", "twice", "gap", "hang"}
	return moods[m.rnd.IntN(len(moods))], time.Duration(m.rnd.IntN(300)) * time.Millisecond
}

func (m *moody) take(call platform.GenerateCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handed[call.Request]++
	job, _, _ := strings.Cut(string(call.Request), "/")
	if m.stopped[structs.JobID(job)] {
		m.faults = append(m.faults, fmt.Sprintf("%s started after the stop of its job", call.Request))
	}
}

func (m *moody) generate(ctx context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
	mood, delay := m.mood()
	if mood == "refuse" {
		return errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
	}
	m.take(call)
	for i := call.ResumeFrom; i < len(wholeText); i++ {
		if !sleep.For(ctx, delay) {
			return errs.New(errs.Cancelled, "cancelled")
		}
		switch {
		case mood == "break" && i > 3:
			return errs.New(errs.StreamBroken, "cut")
		case mood == "hang" && i > 2:
			return hang(ctx)
		case mood == "gap" && i == 5:
			i++
		case mood == "twice" && i > 0:
			if err := sink(token(i-1, wholeText[i-1:i])); err != nil {
				return err
			}
		}
		if err := sink(token(i, wholeText[i:i+1])); err != nil {
			return err
		}
	}
	return nil
}

// chaos is one random run.
type chaos struct {
	*bench
	t       *testing.T
	engine  *moody
	rnd     *rand.Rand
	links   []*fakeLink
	streams []openStream
	next    int
	items   map[structs.ItemRef]bool
	done    map[structs.ItemRef]structs.ItemDone
	drained chan struct{} // closed when the drain has ended; nil without one
}

type openStream struct {
	link   *fakeLink
	stream uint64
}

func (c *chaos) step() {
	switch c.rnd.IntN(10) {
	case 0, 1, 2:
		c.openStream()
	case 3, 4:
		c.sendItem()
	case 5:
		if s := c.anyStream(); s != nil {
			c.frame(s.link, &structs.Frame{Stream: s.stream, Cancel: &structs.Cancel{}})
		}
	case 6:
		if s := c.anyStream(); s != nil {
			c.frame(s.link, &structs.Frame{Stream: s.stream, Credit: &structs.Credit{Bytes: 100}})
		}
	case 7:
		c.loseSession()
	case 8:
		c.stopJob()
	case 9:
		time.Sleep(time.Duration(c.rnd.IntN(700)) * time.Millisecond)
	}
}

func (c *chaos) link() *fakeLink { return c.links[c.rnd.IntN(len(c.links))] }

func (c *chaos) anyStream() *openStream {
	if len(c.streams) == 0 {
		return nil
	}
	return &c.streams[c.rnd.IntN(len(c.streams))]
}

func (c *chaos) openStream() {
	c.next++
	l := c.link()
	o := generateOpen()
	o.Request = structs.RequestID(fmt.Sprint("s", c.next))
	o.Credit = 1 << 20
	if c.rnd.IntN(3) == 0 {
		o.Credit = 60
	}
	if c.rnd.IntN(4) == 0 {
		o.TimeoutMs = int64(1 + c.rnd.IntN(1500))
	}
	c.streams = append(c.streams, openStream{l, uint64(c.next)})
	c.frame(l, &structs.Frame{Stream: uint64(c.next), Open: &o})
}

func (c *chaos) sendItem() {
	c.next++
	it := batchItem(structs.JobID(fmt.Sprint("j", c.next/40)), c.next)
	it.Alone = c.rnd.IntN(10) == 0
	c.items[it.Ref] = true
	c.frame(c.link(), &structs.Frame{Items: &structs.Items{Items: []structs.Item{it}}})
}

// stopJob stops the newest job. Owners send no item of a job after its stop.
func (c *chaos) stopJob() {
	job := structs.JobID(fmt.Sprint("j", c.next/40))
	for _, l := range c.links {
		c.frame(l, &structs.Frame{ItemStop: &structs.ItemStop{Job: job, All: true}})
	}
	c.engine.mu.Lock()
	c.engine.stopped[job] = true
	c.engine.mu.Unlock()
	c.next = (c.next/40 + 1) * 40
}

func (c *chaos) loseSession() {
	i := c.rnd.IntN(len(c.links))
	old := c.links[i]
	old.Close(errs.New(errs.SessionLost, "cut"))
	c.closed(old, old.closed)
	c.links[i] = &fakeLink{host: old.host}
	c.opened(c.links[i])
}

// settle waits until nothing can be left: callers read on, owners acknowledge.
func (c *chaos) settle() {
	for _, s := range c.streams {
		c.frame(s.link, &structs.Frame{Stream: s.stream, Credit: &structs.Credit{Bytes: 1 << 20}})
	}
	for range 90 {
		c.ackAll()
		time.Sleep(time.Second)
	}
	synctest.Wait()
}

func (c *chaos) ackAll() {
	for _, l := range c.links {
		var ack structs.ItemAck
		for _, d := range l.done() {
			c.done[d.Ref] = d
			ack.Refs = append(ack.Refs, d.Ref)
		}
		c.frame(l, &structs.Frame{ItemAck: &ack})
	}
}

// check looks at every answer once all is quiet.
func (c *chaos) check() {
	for _, f := range c.engine.faults {
		c.t.Error(f)
	}
	for _, s := range c.streams {
		c.checkStream(s)
	}
	for ref := range c.items {
		c.checkItem(ref)
	}
	if c.drained != nil {
		select {
		case <-c.drained:
		default:
			c.t.Error("the drain has not ended")
		}
	}
	open, _ := c.Side.items.counts()
	if l := c.queue.load(); c.active.Load() != 0 || open != 0 || l.OnlineInFlight+l.BatchInFlight+l.OnlineQueued != 0 {
		c.t.Errorf("left behind: %d streams, %d items, %+v", c.active.Load(), open, l)
	}
}

func (c *chaos) checkStream(s openStream) {
	ends := s.link.frames(func(f *structs.Frame) bool { return f.Stream == s.stream && f.End != nil })
	if s.link.closed != nil && len(ends) == 0 {
		return
	}
	if len(ends) != 1 {
		c.t.Errorf("stream %d ended %d times", s.stream, len(ends))
		return
	}
	a := s.link.answer(s.stream)
	for i, seq := range a.seqs {
		if seq != i || a.data[i] != string(token(i, wholeText[i:i+1]).Data) {
			c.t.Errorf("stream %d: part %d is token %d", s.stream, i, seq)
		}
	}
	if a.end.Err == nil && len(a.data) != len(wholeText) {
		c.t.Errorf("stream %d is called whole after %d tokens", s.stream, len(a.data))
	}
	if a.end.Err != nil && a.end.Err.Type == errs.Draining && a.end.Err.Ran != errs.RanNo {
		c.t.Errorf("stream %d was cut off by the drain", s.stream)
	}
	c.checkRan(structs.RequestID(fmt.Sprint("s", s.stream)), a.end.Err)
}

func (c *chaos) checkItem(ref structs.ItemRef) {
	d, ok := c.done[ref]
	if !ok {
		c.t.Errorf("item %+v has no outcome", ref)
		return
	}
	c.checkRan(itemRequest(ref), d.Err)
	var whole completion.Answer
	if d.Err == nil && (json.Unmarshal(d.Body, &whole) != nil || *whole.Choices[0].Text != wholeText) {
		c.t.Errorf("item %+v: %s", ref, d.Body)
	}
}

func (c *chaos) checkRan(r structs.RequestID, err *errs.Error) {
	if err != nil && err.Ran == errs.RanNo && c.engine.handed[r] > 0 {
		c.t.Errorf("%s is called not run (%v) and was given to the engine %d times", r, err, c.engine.handed[r])
	}
}

// Whatever the sequence of opens, cancels, credits, lost sessions, batch items, stopped jobs
// and moods of the engine, with a planned stop in the middle in every second run: each stream ends once, a whole answer is whole and in order, what is
// called "not run" was never handed over, no item starts after its job's stop, each
// item has an outcome, and nothing is left behind.
func TestRandomSequences(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
				engine := &moody{
					rnd:     rand.New(rand.NewPCG(seed, 1)),
					handed:  make(map[structs.RequestID]int),
					stopped: make(map[structs.JobID]bool),
				}
				b.target.generate = engine.generate
				second := &fakeLink{host: "e2"}
				b.opened(second)
				c := &chaos{
					bench: b, t: t, engine: engine,
					rnd:   rand.New(rand.NewPCG(seed, 2)),
					links: []*fakeLink{b.entry, second},
					items: make(map[structs.ItemRef]bool),
					done:  make(map[structs.ItemRef]structs.ItemDone),
				}
				for range 200 {
					c.step()
					if c.rnd.IntN(2) == 0 {
						synctest.Wait()
					}
				}
				if seed%2 == 1 {
					c.drained = make(chan struct{})
					go func() {
						b.drain()
						close(c.drained)
					}()
				}
				c.settle()
				c.check()
			})
		})
	}
}
