package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/standin/engine"
)

const (
	streamTokens = 12
	serviceKey   = "dev-once-call"
	doneEvent    = "[DONE]"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

func chatBody(prompt string, maxTokens int, stream bool) []byte {
	// A chatRequest holds nothing that can't be marshalled.
	body, _ := json.Marshal(chatRequest{
		Model:     string(model),
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	return body
}

// onlineStep streams one request and checks that every token came, in order.
func (o *once) onlineStep(ctx context.Context) error {
	body := chatBody("A tenant asks about an eviction date.", streamTokens, true)
	start := time.Now()
	header := http.Header{"Content-Type": {"application/json"}}
	a, err := o.caller(0).call(ctx, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return err
	}
	text, tokens, err := joinEvents(a.body)
	if err != nil {
		return err
	}
	if want := engine.Expect(body, streamTokens); text != want {
		return errs.Newf(errs.StreamBroken, "answer %q, want %q", text, want)
	}
	o.say("streamed request: %d tokens from %s in %s, whole and in order",
		tokens, a.header.Get("X-Target"), time.Since(start).Round(time.Millisecond))
	return nil
}

// joinEvents reads a stream of server-sent events and returns the text and the
// number of tokens.
func joinEvents(body []byte) (string, int, error) {
	var text strings.Builder
	tokens, done := 0, false
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *errs.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", 0, wrap(err, "event")
		}
		if event.Error != nil {
			return "", 0, event.Error
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
			tokens++
		}
	}
	if !done {
		return "", 0, errs.New(errs.StreamBroken, "the stream ended without "+doneEvent)
	}
	return text.String(), tokens, nil
}

// serviceStep sends one non-idempotent call twice, through both entries, with the same
// key: the second must get the first one's answer, and the service one call.
func (o *once) serviceStep(ctx context.Context) error {
	header := http.Header{
		"Content-Type":       {"text/plain"},
		"Idempotency-Key":    {serviceKey},
		"Idempotency-Issued": {fmt.Sprint(time.Now().UnixMilli())},
	}
	path := "/svc/" + string(serviceName) + "/confirm-slot"
	first, err := o.caller(0).call(ctx, http.MethodPost, path, header, []byte("slot 14:30"))
	if err != nil {
		return err
	}
	second, err := o.caller(1).call(ctx, http.MethodPost, path, header, []byte("slot 14:30"))
	if err != nil {
		return err
	}
	if !bytes.Equal(first.body, second.body) {
		return errs.Newf(errs.Internal, "the resend was answered %q, the first call %q", second.body, first.body)
	}
	calls := 0
	for _, s := range o.cluster.standins.services {
		calls += s.KeyCalls(serviceKey)
	}
	if calls != 1 {
		return errs.Newf(errs.Internal, "the service was called %d times for one key", calls)
	}
	o.say("service call: sent twice with one key, through both entries; run once by %s", first.header.Get("X-Target"))
	return nil
}
