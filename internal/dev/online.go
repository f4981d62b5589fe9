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
	"arbutusramp/internal/client"
	"arbutusramp/standin/engine"
)

const (
	streamTokens = 12
	doneEvent    = "[DONE]"
	keyTimeout   = 10 * time.Second
	keyPoll      = 100 * time.Millisecond
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
	a, err := o.caller(0).Call(ctx, http.MethodPost, "/v1/chat/completions", header, bytes.NewReader(body))
	if err != nil {
		return err
	}
	text, tokens, err := joinEvents(a.Body)
	if err != nil {
		return err
	}
	if want := engine.Expect(body, streamTokens); text != want {
		return errs.Newf(errs.StreamBroken, "answer %q, want %q", text, want)
	}
	o.say("streamed request: %d tokens from %s in %s, whole and in order",
		tokens, a.Header.Get("X-Target"), time.Since(start).Round(time.Millisecond))
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
			return "", 0, errs.Newf(errs.StreamBroken, "event: %v", err)
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

// keyedCall is one non-idempotent call with its idempotency key.
type keyedCall struct {
	key    string
	issued time.Time // when the key was first used
}

func (k keyedCall) send(ctx context.Context, c *client.Client) (client.Answer, error) {
	header := http.Header{
		"Content-Type":       {"text/plain"},
		"Idempotency-Key":    {k.key},
		"Idempotency-Issued": {fmt.Sprint(k.issued.UnixMilli())},
	}
	path := "/svc/" + string(serviceName) + "/confirm-slot"
	return c.Call(ctx, http.MethodPost, path, header, strings.NewReader("slot 14:30"))
}

// serviceStep sends one non-idempotent call twice, through both entries, with the same
// key: the second must get the first one's answer, and the service one call.
func (o *once) serviceStep(ctx context.Context) error {
	call, first, err := o.firstKeyedCall(ctx)
	if err != nil {
		return err
	}
	second, err := call.send(ctx, o.caller(1))
	if err != nil {
		return err
	}
	if !bytes.Equal(first.Body, second.Body) {
		return errs.Newf(errs.Internal, "the resend was answered %q, the first call %q", second.Body, first.Body)
	}
	if calls := o.cluster.standins.serviceCalls(call.key); calls != 1 {
		return errs.Newf(errs.Internal, "the service was called %d times for one key", calls)
	}
	o.say("service call: sent twice with one key, through both entries; run once by %s", first.Header.Get("X-Target"))
	return nil
}

// firstKeyedCall sends calls with fresh keys until one is taken. A target that was added a
// moment ago refuses keys issued before every entry knew of it: another target may
// have run them.
func (o *once) firstKeyedCall(ctx context.Context) (keyedCall, client.Answer, error) {
	var call keyedCall
	var first client.Answer
	var last error
	n := 0
	err := poll(ctx, keyTimeout, keyPoll, func() bool {
		n++
		call = keyedCall{key: fmt.Sprintf("dev-once-%d", n), issued: time.Now()}
		first, last = call.send(ctx, o.caller(0))
		return !errs.Is(last, errs.KeyUnverifiable)
	})
	if last != nil {
		return call, first, last
	}
	return call, first, err
}

// serviceCalls counts the calls with one key over all plain services.
func (s *standins) serviceCalls(key string) int {
	calls := 0
	for _, svc := range s.services {
		calls += svc.KeyCalls(key)
	}
	return calls
}
