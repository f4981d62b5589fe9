package mix

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"

	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
)

// feed is a batch backlog that never runs dry. It owns one job for each entry, hands out
// items as sides pull, and notes how each ends. It stands in for the owner of job shards:
// nothing of it lasts.
type feed struct {
	shape shape

	mu     sync.Mutex
	rng    *rand.Rand
	open   map[structs.ItemRef]*work
	back   []*work // given back, or lost with their entry
	next   int
	tokens int     // that all items made so far ask for
	work   float64 // and what they take, see requestWork
	tally  tally
	closed bool
}

// work is one batch item.
type work struct {
	item   structs.Item
	want   string // text that the engine must answer with
	owner  structs.HostID
	done   bool
	handed int // how often it was handed out
}

// tally counts what has come of the items.
type tally struct {
	done     int // items that ended with their whole answer
	gaveBack int
	failed   map[string]int // attempts that failed, by type
	wrong    int            // answers that are not the engine's
	doubled  int            // items that were answered again after their outcome was acknowledged
}

func newFeed(s shape, seed uint64) *feed {
	return &feed{
		shape: s,
		rng:   rand.New(rand.NewPCG(seed, itemStream)),
		open:  make(map[structs.ItemRef]*work),
		tally: tally{failed: make(map[string]int)},
	}
}

// take returns the next item, made anew when none was given back; the lock is held.
func (f *feed) take(owner structs.HostID) *work {
	if n := len(f.back); n > 0 {
		w := f.back[0]
		f.back = f.back[1:]
		f.hand(w, owner)
		return w
	}
	w := f.make()
	f.hand(w, owner)
	return w
}

func (f *feed) hand(w *work, owner structs.HostID) {
	w.owner = owner
	w.item.Ref.Attempt = w.handed
	w.handed++
	f.open[w.item.Ref] = w
}

// make draws a new item; the lock is held.
func (f *feed) make() *work {
	prompt, answer := f.shape.items.prompt.draw(f.rng), f.shape.items.answer.draw(f.rng)
	body, _ := json.Marshal(completion{
		Model: f.shape.model, Prompt: words(f.rng, prompt), MaxTokens: answer,
	})
	f.next++
	w := &work{}
	f.tokens += answer
	f.work += requestWork(prompt, answer)
	w.want = engine.Expect(body, answer)
	w.item = structs.Item{
		Ref:       structs.ItemRef{Epoch: 1, Job: "mix-backlog", Index: f.next},
		Workspace: workspace,
		Generate:  &structs.Generate{Model: f.shape.model, MaxTokens: answer, PromptTokens: prompt},
		Method:    "POST",
		Path:      "/v1/completions",
		Body:      body,
	}
	return w
}

// completion is the body of a batch item.
type completion struct {
	Model     structs.ModelID `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

// port is the feed as one entry sees it.
func (f *feed) port(host structs.HostID) *feedPort { return &feedPort{feed: f, host: host} }

// feedPort implements entry.BatchPort.
type feedPort struct {
	feed *feed
	host structs.HostID
}

// OnPull implements entry.BatchPort.
func (p *feedPort) OnPull(_ structs.HostID, send func(*structs.Frame) error, pull *structs.Pull) {
	if pull.Room <= 0 || pull.Service != "" {
		return
	}
	items := p.feed.items(p.host, pull)
	if len(items) == 0 {
		return
	}
	if err := send(&structs.Frame{Items: &structs.Items{Items: items}}); err != nil {
		p.feed.unsent(items)
	}
}

func (f *feed) items(owner structs.HostID, pull *structs.Pull) []structs.Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	items := make([]structs.Item, 0, pull.Room)
	for range pull.Room {
		it := f.take(owner).item
		it.Target = pull.Target
		items = append(items, it)
	}
	return items
}

func (f *feed) unsent(items []structs.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range items {
		f.giveBack(it.Ref)
	}
}

// giveBack puts an open item back in the backlog; the lock is held.
func (f *feed) giveBack(ref structs.ItemRef) {
	if w := f.open[ref]; w != nil {
		delete(f.open, ref)
		f.back = append(f.back, w)
	}
}

// OnItemDone implements entry.BatchPort.
func (p *feedPort) OnItemDone(_ structs.HostID, send func(*structs.Frame) error, d *structs.ItemDone) {
	p.feed.ended(d)
	// A lost acknowledgement makes the side send the outcome again, no more.
	_ = send(&structs.Frame{ItemAck: &structs.ItemAck{Refs: []structs.ItemRef{d.Ref}}})
}

func (f *feed) ended(d *structs.ItemDone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.open[d.Ref]
	if w == nil {
		// An outcome that came before, sent again because its acknowledgement was late.
		return
	}
	switch {
	case d.GaveBack:
		f.tally.gaveBack++
		f.giveBack(d.Ref)
	case d.Err != nil:
		f.tally.failed[string(d.Err.Type)]++
		f.giveBack(d.Ref)
	default:
		delete(f.open, d.Ref)
		f.finished(w, d)
	}
}

// finished counts an item's answer once; the lock is held.
func (f *feed) finished(w *work, d *structs.ItemDone) {
	if w.done {
		f.tally.doubled++
		return
	}
	w.done = true
	if text, err := completionText(d.Body); err != nil || text != w.want {
		f.tally.wrong++
		return
	}
	f.tally.done++
}

// SideOpened implements entry.BatchPort.
func (p *feedPort) SideOpened(structs.HostID, func(*structs.Frame) error) {}

// SideClosed implements entry.BatchPort.
func (p *feedPort) SideClosed(structs.HostID) {}

// ownerLost takes the items of a lost entry over: another one hands them out
// again under the next epoch, so that sides drop what the lost one still holds.
func (f *feed) ownerLost(owner structs.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ref, w := range f.open {
		if w.owner == owner {
			f.giveBack(ref)
		}
	}
}

// stop hands out nothing more.
func (f *feed) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// counts returns the tally so far.
func (f *feed) counts() tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally
	t.failed = make(map[string]int, len(f.tally.failed))
	for k, v := range f.tally.failed {
		t.failed[k] = v
	}
	return t
}

// workPerToken is the engine time in seconds that a batch token takes, with its part of
// the prompt.
func (f *feed) workPerToken() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work / float64(max(1, f.tokens))
}

// completionText reads the text of a whole answer.
func completionText(body []byte) (string, error) {
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 {
		return "", fmt.Errorf("no completion: %.80q", body)
	}
	return answer.Choices[0].Text, nil
}

// requestWork is the engine time, in seconds, that prompt and answer tokens take in
// a full running batch, where the engine's rate is highest.
func requestWork(prompt, answer int) float64 {
	o := engine.Options{}.WithDefaults()
	token := o.StepTime(o.MaxRunning, 0).Seconds() / float64(o.MaxRunning)
	return o.PerPrefillToken.Seconds()*float64(prompt) + token*float64(answer)
}
