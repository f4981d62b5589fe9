package openloop

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/test/cluster"
)

// Answer is what came of one request.
type Answer struct {
	FirstToken time.Duration // from the planned arrival; 0 if none came
	Ended      time.Duration // from the planned arrival
	Target     structs.TargetID
	Err        *errs.Error // nil for a whole answer
	Violation  string      // an answer that no caller may get, or empty
}

// Sender sends plans to a cluster.
type Sender struct {
	client http.Client
	urls   []string
	load   Load
}

// NewSender returns a Sender for the entries of c.
func NewSender(c *cluster.Cluster, l Load) (*Sender, error) {
	s := &Sender{load: l, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	for _, e := range c.Entries {
		url, err := e.URL()
		if err != nil {
			return nil, err
		}
		s.urls = append(s.urls, url+"/v1/chat/completions")
	}
	return s, nil
}

// Send sends each request of plan at its time and returns the answers in the plan's order.
func (s *Sender) Send(ctx context.Context, plan []Request) []Answer {
	answers := make([]Answer, len(plan))
	start := time.Now()
	var g sync.WaitGroup
	for i := range plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(plan[i].At))):
		}
		g.Go(func() { answers[i] = s.one(ctx, &plan[i], start.Add(plan[i].At)) })
	}
	g.Wait()
	s.client.CloseIdleConnections()
	return answers
}

func (s *Sender) one(ctx context.Context, r *Request, planned time.Time) Answer {
	a := Answer{}
	body := s.body(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.urls[r.Entry], bytes.NewReader(body))
	if err != nil {
		return Answer{Err: errs.As(err)}
	}
	req.Header.Set("Authorization", "Bearer "+cluster.WorkspaceKey)
	req.Header.Set("X-Request-Id", r.ID)
	req.Header.Set("X-Request-Timeout", strconv.FormatInt(s.load.Timeout.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return Answer{Err: errs.As(err), Ended: time.Since(planned)}
	}
	defer resp.Body.Close()
	a.Target = structs.TargetID(resp.Header.Get("X-Target"))
	a.read(resp, s.load.Tokens, planned)
	a.Ended = time.Since(planned)
	return a
}

func (s *Sender) body(r *Request) []byte {
	// Strings and numbers can always be marshalled.
	body, _ := json.Marshal(map[string]any{
		"model": cluster.Model, "stream": true, "max_tokens": s.load.Tokens,
		"messages": []any{map[string]string{"role": "user", "content": r.Prompt}},
	})
	return body
}

// problem is an error as callers get it.
type problem struct {
	Error *errs.Error `json:"error"`
}

func (a *Answer) read(resp *http.Response, want int, planned time.Time) {
	if resp.StatusCode != http.StatusOK {
		var p problem
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Error == nil {
			a.Violation = "an error without a type"
			return
		}
		a.Err = p.Error
		return
	}
	tokens := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			if tokens != want {
				a.Violation = "a whole answer of " + strconv.Itoa(tokens) + " tokens"
			}
			return
		case strings.HasPrefix(data, `{"error"`):
			var p problem
			if json.Unmarshal([]byte(data), &p) == nil {
				a.Err = p.Error
				return
			}
		default:
			if tokens == 0 {
				a.FirstToken = time.Since(planned)
			}
			tokens++
		}
	}
	a.Violation = "a stream that was cut without a word"
}
