package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
)

const (
	onlineCallers = 4
	onlineEvery   = 30 * time.Millisecond
	onlineTimeout = 4 * time.Second
	onlineTokens  = 8
	keyedSends    = 3 // of a keyed call at most
)

// onlineHistory is what online callers were told.
type onlineHistory struct {
	Sent     int                 `json:"sent"`
	Answered int                 `json:"answered"`
	Refused  map[errs.Type]int   `json:"refused"`
	Broken   int                 `json:"broken"` // no whole answer and no typed error
	notRun   []string            // requests that were told "not run"
	keys     map[string]struct{} // of calls that must not be repeated
}

// onlineLoad sends online requests.
type onlineLoad struct {
	w    *world
	http *http.Client
}

func newOnlineLoad(w *world) *onlineLoad {
	w.hist.online = onlineHistory{Refused: make(map[errs.Type]int), keys: make(map[string]struct{})}
	// Connections are not kept, so that no request meets one that a killed entry has left.
	return &onlineLoad{w: w, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (l *onlineLoad) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range onlineCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; sleep.For(ctx, onlineEvery); n++ {
				id := fmt.Sprintf("online-%d-%d", i, n)
				if rng.IntN(3) == 0 {
					l.keyed(ctx, rng, id)
					continue
				}
				l.generate(ctx, rng, id)
			}
		})
	}
	wg.Wait()
}

func (l *onlineLoad) generate(ctx context.Context, rng *rand.Rand, id string) {
	body, _ := json.Marshal(engineBody{cluster.Model, "case " + id, onlineTokens, ""})
	answer, ok := l.call(ctx, rng.IntN(entries), id, "/v1/completions", body, nil)
	if !ok {
		return
	}
	if got, want := completionText(answer), engine.Expect(body, onlineTokens); got != want {
		l.w.hist.violation("online_answer", fmt.Sprintf("%s got %q, want %q", id, got, want))
	}
}

// completionText returns the text of a whole completion.
func completionText(body []byte) string {
	var c struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// keyed sends a call that must not be repeated, again under its key through other entries
// while its outcome is not known.
func (l *onlineLoad) keyed(ctx context.Context, rng *rand.Rand, key string) {
	body, _ := json.Marshal(serviceBody{key})
	header := http.Header{"Idempotency-Key": {key}}
	header.Set("Idempotency-Issued", strconv.FormatInt(time.Now().UnixMilli(), 10))
	l.w.hist.keyUsed(key)
	for n := range keyedSends {
		id := fmt.Sprintf("%s-send-%d", key, n)
		answer, ok := l.call(ctx, rng.IntN(entries), id, "/svc/"+string(cluster.Service)+"/calls", body, header)
		if !ok {
			continue
		}
		if !bytes.Equal(answer, body) {
			l.w.hist.violation("online_answer", fmt.Sprintf("%s got %q", id, answer))
		}
		return
	}
}

// call sends one request; ok says that its answer was whole.
func (l *onlineLoad) call(ctx context.Context, entry int, id, path string, body []byte, header http.Header) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, onlineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.w.entryURL(entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+cluster.WorkspaceKey)
	req.Header.Set("X-Request-Id", id)
	resp, err := l.http.Do(req)
	if err != nil {
		l.w.hist.told(id, nil, false)
		return nil, false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		l.w.hist.told(id, nil, false)
		return nil, false
	case resp.StatusCode == http.StatusOK:
		l.w.hist.told(id, nil, true)
		return answer, true
	}
	var refusal struct {
		Error *errs.Error `json:"error"`
	}
	if json.Unmarshal(answer, &refusal) != nil || refusal.Error == nil || refusal.Error.Type == "" {
		l.w.hist.violation("online_untyped", fmt.Sprintf("%s: status %d %.100s", id, resp.StatusCode, answer))
		return nil, false
	}
	l.w.hist.told(id, refusal.Error, false)
	return nil, false
}

func (h *history) keyUsed(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.online.keys[key] = struct{}{}
}

// told notes what became of an online request.
func (h *history) told(id string, err *errs.Error, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.online.Sent++
	switch {
	case whole:
		h.online.Answered++
	case err == nil:
		h.online.Broken++
	default:
		h.online.Refused[err.Type]++
		if err.Ran == errs.RanNo {
			h.online.notRun = append(h.online.notRun, id)
		}
	}
}
