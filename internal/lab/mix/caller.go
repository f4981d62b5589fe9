package mix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"

	"github.com/pkg/errors"
)

const (
	callTimeout  = 60 * time.Second
	maxResends   = 3
	resendPause  = 100 * time.Millisecond
	maxIdleConns = 512
	doneEvent    = "[DONE]"
	// connectionLost counts calls whose connection broke without an answer, also after resends.
	connectionLost = "connection_lost"
	maxLine        = 1 << 16
)

// result is what came of one planned call.
type result struct {
	call    call
	first   time.Duration // from the planned arrival to the first token or the answer
	failure *errs.Error   // nil when the whole answer came
	lost    bool          // the connection broke and resends did not help
	wrong   string        // what is wrong with an answer that claims to be whole
	resends int
}

// callers send the calls of a plan and gather the results.
type callers struct {
	shape  shape
	doors  doors
	http   *http.Client
	tokens *atomic.Int64 // that callers have got

	wg      sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// doors is where calls go in: the entries, or the targets themselves.
type doors interface {
	// open picks a door for a call; the call ends when ctx does. close gives it back.
	open(c *call, try int) (d door, close func())
}

// door is one place that takes calls.
type door struct {
	base   string          // http://IP:port
	prefix string          // of paths of the plain service
	gone   context.Context // done when the process behind it was killed
}

func newCallers(s shape, d doors, tokens *atomic.Int64) *callers {
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	return &callers{shape: s, doors: d, http: &http.Client{Transport: transport}, tokens: tokens}
}

// run sends each call at its time, whatever became of earlier ones, and waits for
// the last answer.
func (cs *callers) run(start time.Time, calls []call) []result {
	for i := range calls {
		time.Sleep(time.Until(start.Add(calls[i].At)))
		cs.wg.Go(func() { cs.send(start, &calls[i]) })
	}
	cs.wg.Wait()
	cs.http.CloseIdleConnections()
	return cs.results
}

func (cs *callers) send(start time.Time, c *call) {
	r := result{call: *c}
	planned := start.Add(c.At)
	for try := 0; ; try++ {
		err := cs.attempt(c, try, planned, &r)
		if err == nil {
			break
		}
		if try >= maxResends {
			r.lost = true
			break
		}
		r.resends++
		time.Sleep(resendPause)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.results = append(cs.results, r)
}

// attempt sends c once. An error means that the connection broke; all else is in r.
func (cs *callers) attempt(c *call, try int, planned time.Time, r *result) error {
	d, closeDoor := cs.doors.open(c, try)
	defer closeDoor()
	ctx, cancel := context.WithTimeout(d.gone, callTimeout)
	defer cancel()
	req, body, err := cs.request(ctx, c, d)
	if err != nil {
		return err
	}
	resp, err := cs.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readFailure(resp, r)
	}
	if c.Kind == callStream {
		return cs.readStream(resp.Body, planned, body, c.Max, r)
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	r.first = time.Since(planned)
	if !bytes.Equal(answer, body) {
		r.wrong = fmt.Sprintf("the service's answer is %.40q", answer)
	}
	return nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is the body of an online request.
type chat struct {
	Model     structs.ModelID `json:"model"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (cs *callers) request(ctx context.Context, c *call, d door) (*http.Request, []byte, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(c.Prompt)
	switch c.Kind {
	case callStream:
		// A chat holds nothing that can't be marshalled.
		body, _ = json.Marshal(chat{
			Model: cs.shape.model, Messages: []message{{Role: "user", Content: c.Prompt}},
			MaxTokens: c.Max, Stream: true,
		})
	case callLookup:
		method, path = http.MethodPut, d.prefix+"/lookup"
	case callConfirm:
		path = d.prefix + "/confirm"
	}
	req, err := http.NewRequestWithContext(ctx, method, d.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.id())
	if c.Kind == callConfirm {
		req.Header.Set("Idempotency-Key", c.id())
		req.Header.Set("Idempotency-Issued", strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	return req, body, nil
}

// id names the call at entries, sides and targets.
func (c *call) id() string { return "mix-" + strconv.Itoa(c.Index) }

// readFailure reads a typed error.
func readFailure(resp *http.Response, r *result) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	r.failure = failureOf(body, resp.StatusCode)
	return nil
}

func failureOf(body []byte, status int) *errs.Error {
	var p struct {
		Error *errs.Error `json:"error"`
	}
	if json.Unmarshal(body, &p) == nil && p.Error != nil && p.Error.Type != "" {
		return p.Error
	}
	return errs.Newf(errs.Internal, "status %d: %.80q", status, body)
}

// readStream reads server-sent events up to the end and compares the whole text with what
// the engine generates for body.
func (cs *callers) readStream(from io.Reader, planned time.Time, body []byte, tokens int, r *result) error {
	var text strings.Builder
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	first := time.Duration(0)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			r.first = first
			if want := engine.Expect(body, tokens); text.String() != want {
				r.wrong = fmt.Sprintf("%d bytes of text, want %d", text.Len(), len(want))
			}
			return nil
		}
		if first == 0 {
			first = time.Since(planned)
		}
		part, failure := eventText(data)
		if failure != nil {
			r.failure = failure
			return nil
		}
		text.WriteString(part)
		cs.tokens.Add(1)
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	return errors.New("the stream ended without " + doneEvent)
}

func eventText(data string) (string, *errs.Error) {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *errs.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return "", errs.Newf(errs.BadFrame, "event %.40q", data)
	}
	if event.Error != nil {
		return "", event.Error
	}
	var text strings.Builder
	for _, c := range event.Choices {
		text.WriteString(c.Delta.Content)
	}
	return text.String(), nil
}
