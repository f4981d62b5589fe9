package online_test

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
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
)

// ask is one request of a caller.
type ask struct {
	id     string
	entry  *cluster.Process
	tokens int
	prompt string // unique for each request, so that a foreign answer shows
	// timeout is sent as the caller's deadline; 0 sends none.
	timeout time.Duration
	// onToken is called after each token with their number so far.
	onToken func(n int)
}

func (a *ask) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"model": cluster.Model, "stream": true, "max_tokens": a.tokens,
		"messages": []any{map[string]string{"role": "user", "content": a.prompt}},
	})
	return body
}

// reply is what a caller made of an answer.
type reply struct {
	tokens int
	// whole: all that was asked for has come, and the end was marked.
	whole bool
	// err is the typed error that the answer ended with, nil if there was none.
	err *errs.Error
	// lost: the connection broke, so the caller knows that it has no whole answer.
	lost error
	// wrong says what a caller must never see.
	wrong      string
	retryAfter string
	target     string
}

func (r reply) String() string {
	return fmt.Sprintf("tokens %d whole %v err %v lost %v wrong %q", r.tokens, r.whole, r.err, r.lost, r.wrong)
}

// callers is the HTTP client of all callers. Connections are not kept, so that
// a request never meets one that a killed entry has left behind.
func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a and reads the answer to its end, token by token.
func (w *world) send(ctx context.Context, a *ask) reply {
	req := w.request(ctx, a.entry, http.MethodPost, "/v1/chat/completions", a.body())
	req.Header.Set("X-Request-Id", a.id)
	if a.timeout > 0 {
		req.Header.Set("X-Request-Timeout", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return reply{lost: err}
	}
	defer resp.Body.Close()
	r := reply{retryAfter: resp.Header.Get("Retry-After"), target: resp.Header.Get("X-Target")}
	if got := resp.Header.Get("X-Request-Id"); got != a.id {
		r.wrong = fmt.Sprintf("answer of request %q", got)
	}
	if resp.StatusCode != http.StatusOK {
		r.err, r.lost = typedError(resp.Body)
		return r
	}
	r.read(a, resp.Body)
	return r
}

func (w *world) request(ctx context.Context, entry *cluster.Process, method, path string, body []byte) *http.Request {
	url, err := entry.URL()
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+cluster.WorkspaceKey)
	return req
}

func typedError(body io.Reader) (*errs.Error, error) {
	var p struct {
		Error *errs.Error `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return nil, err
	}
	if p.Error == nil || p.Error.Type == "" {
		return nil, fmt.Errorf("an error without a type")
	}
	return p.Error, nil
}

// read takes in the events of a streamed answer.
func (r *reply) read(a *ask, body io.Reader) {
	content, _ := engine.ContentHash(a.body())
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case r.whole || r.err != nil:
			r.wrong = "something came after the end"
			return
		case data == "[DONE]":
			r.whole = true
			if r.tokens != a.tokens {
				r.wrong = fmt.Sprintf("a whole answer of %d tokens, not %d", r.tokens, a.tokens)
			}
		default:
			r.event(a, content, data)
		}
	}
	if err := lines.Err(); err != nil {
		r.lost = err
	}
	if !r.whole && r.err == nil && r.lost == nil {
		r.wrong = "the stream was cut without a word"
	}
}

func (r *reply) event(a *ask, content uint64, data string) {
	var ev struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *errs.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		r.wrong = "an event that is no JSON: " + data
		return
	}
	if ev.Error != nil {
		r.err = ev.Error
		return
	}
	for _, c := range ev.Choices {
		if want := engine.TokenText(content, r.tokens); c.Delta.Content != want && r.wrong == "" {
			r.wrong = fmt.Sprintf("token %d is %q, not %q", r.tokens, c.Delta.Content, want)
		}
		r.tokens++
		if a.onToken != nil {
			a.onToken(r.tokens)
		}
	}
}

// check fails the test for what a caller must never see.
func (r reply) check(t *testing.T, a *ask) {
	t.Helper()
	if r.wrong != "" {
		t.Errorf("%s: %s", a.id, r.wrong)
	}
}

// call sends a request to the plain service, which echoes its body.
func (w *world) call(req *http.Request, want string) reply {
	resp, err := w.http.Do(req)
	if err != nil {
		return reply{lost: err}
	}
	defer resp.Body.Close()
	r := reply{retryAfter: resp.Header.Get("Retry-After"), target: resp.Header.Get("X-Target")}
	if resp.StatusCode != http.StatusOK {
		r.err, r.lost = typedError(resp.Body)
		return r
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		r.lost = err
	case string(body) != want:
		r.wrong = fmt.Sprintf("answer %q, not %q", body, want)
	default:
		r.whole = true
	}
	return r
}
