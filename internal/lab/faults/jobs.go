package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/client"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
)

const (
	submitLeast, submitMost = 200 * time.Millisecond, 700 * time.Millisecond
	submitTimeout           = 5 * time.Second
	abandonMost             = 100 * time.Millisecond
	cancelMost              = 2 * time.Second
	retryPause              = 200 * time.Millisecond
	leastItems, mostItems   = 8, 60
	mostTokens              = 24

	// Shares of jobs, 0..1.
	shareService = 0.35
	shareRefused = 0.25 // of engine jobs have an item that is refused, and a line that can't be run
	shareDeadly  = 0.05 // of engine jobs have an item that hangs, and one that kills its engine
	shareTwice   = 0.3  // sent through two entries at once
	shareAbandon = 0.3  // the caller leaves before the answer and sends it again
	shareResend  = 0.15 // sent again after the answer
	shareOther   = 0.1  // the key sent again with other content
	shareCancel  = 0.2
)

// poisonLine marks a line that can't be run.
const poisonLine = "line"

// jobLoad sends jobs.
type jobLoad struct {
	w  *world
	wg sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	n   int
}

func newJobLoad(w *world, seed uint64) *jobLoad {
	return &jobLoad{w: w, rng: rand.New(rand.NewPCG(seed, 2))}
}

// run starts jobs until ctx ends; work bounds what they do after that.
func (l *jobLoad) run(ctx, work context.Context) {
	for {
		l.start(work, l.randomJob())
		if !sleep.For(ctx, l.between(submitLeast, submitMost)) {
			return
		}
	}
}

func (l *jobLoad) between(least, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return between(l.rng, least, most)
}

func (l *jobLoad) intn(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *jobLoad) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < share
}

func (l *jobLoad) newKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	return fmt.Sprintf("job-%d", l.n)
}

func (l *jobLoad) randomJob() *sentJob {
	n := leastItems + l.intn(mostItems-leastItems)
	if l.chance(shareService) {
		return l.serviceJob(n)
	}
	j := l.engineJob(n, 1+l.intn(mostTokens))
	l.poison(j, shareRefused, engine.PoisonRefuse)
	l.poison(j, shareRefused, poisonLine)
	l.poison(j, shareDeadly, engine.PoisonHang)
	l.poison(j, shareDeadly, engine.PoisonCrash)
	j.write()
	return j
}

// poison gives a share of jobs one item that can never be done.
func (l *jobLoad) poison(j *sentJob, share float64, p engine.Poison) {
	if l.chance(share) {
		j.items[l.intn(len(j.items))].poison = string(p)
	}
}

// engineJob returns a job of n completions.
func (l *jobLoad) engineJob(n, tokens int) *sentJob {
	j := &sentJob{key: l.newKey(), tokens: tokens, seen: make(map[int]string), items: make([]sentItem, n)}
	for i := range j.items {
		j.items[i].customID = fmt.Sprintf("%s-%d", j.key, i)
	}
	j.write()
	return j
}

// serviceJob returns a job of n calls of the plain service, most of which must not be repeated.
func (l *jobLoad) serviceJob(n int) *sentJob {
	j := l.engineJob(n, 0)
	for i := range j.items {
		j.items[i].once = !l.chance(0.25)
	}
	j.write()
	return j
}

// fileLine is one line of a job's file.
type fileLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

type engineBody struct {
	Model     structs.ModelID `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Poison    string          `json:"poison,omitempty"`
}

type serviceBody struct {
	Case string `json:"case"`
}

// write makes the job's file from its items.
func (j *sentJob) write() {
	var file bytes.Buffer
	enc := json.NewEncoder(&file)
	for i := range j.items {
		_ = enc.Encode(j.line(&j.items[i])) // a buffer takes all
	}
	j.file = file.String()
}

func (j *sentJob) line(it *sentItem) fileLine {
	line := fileLine{CustomID: it.customID, Method: http.MethodPost}
	if j.tokens == 0 {
		line.URL = "/svc/" + string(cluster.Service) + "/cases"
		if !it.once {
			line.Method = http.MethodPut
		}
		line.Body, _ = json.Marshal(serviceBody{it.customID})
		it.want = string(line.Body)
		return line
	}
	line.URL = "/v1/completions"
	b := engineBody{cluster.Model, "case " + it.customID, j.tokens, it.poison}
	if it.poison == poisonLine {
		b.Poison, b.Model = "", "no-such-model"
	}
	line.Body, _ = json.Marshal(b)
	it.want = engine.Expect(line.Body, j.tokens)
	return line
}

// start has a caller send j and see it through.
func (l *jobLoad) start(ctx context.Context, j *sentJob) {
	l.w.hist.sends(j)
	l.wg.Go(func() { l.send(ctx, j) })
}

// startPlain has a caller send j until it is accepted, and do no more.
func (l *jobLoad) startPlain(ctx context.Context, j *sentJob) {
	l.w.hist.sends(j)
	l.wg.Go(func() { l.submit(ctx, j) })
}

func (h *history) sends(j *sentJob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.key] = j
}

func (l *jobLoad) send(ctx context.Context, j *sentJob) {
	if l.chance(shareAbandon) {
		short, cancel := context.WithTimeout(ctx, l.between(time.Millisecond, abandonMost))
		l.submitOnce(short, j, j.file)
		cancel()
	}
	if l.chance(shareTwice) {
		l.wg.Go(func() { l.submit(ctx, j) })
	}
	if !l.submit(ctx, j) {
		return
	}
	if l.chance(shareResend) {
		l.submit(ctx, j)
	}
	if l.chance(shareOther) {
		l.sendOther(ctx, j)
	}
	if l.chance(shareCancel) && sleep.For(ctx, l.between(0, cancelMost)) {
		l.cancel(ctx, j)
	}
}

// submit sends j through one entry after the other until one has accepted it.
func (l *jobLoad) submit(ctx context.Context, j *sentJob) bool {
	for ctx.Err() == nil {
		if l.submitOnce(ctx, j, j.file) == nil {
			return true
		}
		sleep.For(ctx, retryPause)
	}
	return false
}

func (l *jobLoad) submitOnce(ctx context.Context, j *sentJob, file string) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	got, err := l.w.client(l.intn(entries)).SubmitJob(ctx, client.JobSpec{Key: j.key}, bytes.NewReader([]byte(file)))
	if err != nil {
		return err
	}
	l.w.hist.accepted(j, got)
	return nil
}

// sendOther sends j's key with other content, which must be refused.
func (l *jobLoad) sendOther(ctx context.Context, j *sentJob) {
	other := l.engineJob(len(j.items)+1, 1)
	begun := time.Now()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, submitTimeout)
		_, err := l.w.client(l.intn(entries)).SubmitJob(call, client.JobSpec{Key: j.key},
			bytes.NewReader([]byte(other.file)))
		cancel()
		if errs.Is(err, errs.KeyReused) {
			return
		}
		// A key is free again once its job is past the promise.
		if err == nil && time.Since(begun) < l.w.o.Promise/2 {
			l.w.hist.violation("key_reused", j.key+" was accepted with other content")
			return
		}
		sleep.For(ctx, retryPause)
	}
}

func (l *jobLoad) cancel(ctx context.Context, j *sentJob) {
	h := l.w.hist
	h.mu.Lock()
	j.asked = true
	id := j.id
	h.mu.Unlock()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, 2*submitTimeout)
		_, err := l.w.client(l.intn(entries)).CancelJob(call, id)
		cancel()
		if err == nil {
			h.mu.Lock()
			j.cancelled = time.Now()
			h.mu.Unlock()
			return
		}
		sleep.For(ctx, retryPause)
	}
}

// accepted notes that an accept was answered: always the same job, with all its items.
func (h *history) accepted(j *sentJob, got *client.Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.answer && j.id != got.ID {
		h.violationLocked("resend", fmt.Sprintf("%s is %s and %s", j.key, j.id, got.ID))
	}
	if got.Items != len(j.items) {
		h.violationLocked("resend", fmt.Sprintf("%s has %d items, sent %d", j.key, got.Items, len(j.items)))
	}
	if !j.answer {
		j.acceptedAt = time.Now()
	}
	j.id, j.answer = got.ID, true
	h.byID[got.ID] = j
}
