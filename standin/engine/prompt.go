package engine

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Poison says what an item does to the engine that runs it.
type Poison string

const (
	// PoisonRefuse items are answered 422.
	PoisonRefuse Poison = "refuse"
	// PoisonHang items take a place in the running batch and never get a token.
	PoisonHang Poison = "hang"
	// PoisonCrash items crash the engine at their first step.
	PoisonCrash Poison = "crash"
)

// request is the body of a completion or chat request, as far as the engine reads it.
type request struct {
	Model               structs.ModelID `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Poison              Poison          `json:"poison"`

	text string // the prompt as the model sees it
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseRequest reads a body. Error: errs.BadRequest.
func parseRequest(body []byte) (*request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errs.Newf(errs.BadRequest, "broken JSON: %v", err)
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return nil, errs.New(errs.BadRequest, "max_tokens is negative")
	}
	if err := r.decodeText(); err != nil {
		return nil, err
	}
	if r.Poison == "" {
		r.Poison = markedPoison(r.text)
	}
	return &r, nil
}

func given(v json.RawMessage) bool { return len(v) > 0 && string(v) != "null" }

func (r *request) decodeText() error {
	switch {
	case given(r.Prompt):
		if err := json.Unmarshal(r.Prompt, &r.text); err != nil {
			return errs.New(errs.BadRequest, "prompt is no string")
		}
	case given(r.Messages):
		var messages []message
		if err := json.Unmarshal(r.Messages, &messages); err != nil {
			return errs.New(errs.BadRequest, "messages are no list of role and content")
		}
		r.text = chatText(messages)
	default:
		return errs.New(errs.BadRequest, "prompt or messages is missing")
	}
	return nil
}

func chatText(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// markedPoison finds the marker "poison":"KIND" inside a prompt.
func markedPoison(prompt string) Poison {
	if !strings.Contains(prompt, `"poison"`) {
		return ""
	}
	for _, p := range []Poison{PoisonRefuse, PoisonHang, PoisonCrash} {
		if strings.Contains(prompt, `"poison":"`+string(p)+`"`) {
			return p
		}
	}
	return ""
}

func (r *request) maxTokens(byDefault int) int {
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return byDefault
}

// contentHash names what the answer depends on: model and prompt.
func (r *request) contentHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(r.Model))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.text)
	return d.Sum64()
}

// prefixes hashes what was sent, as entries do, so that cache events mean the same to both.
func (r *request) prefixes() []uint64 {
	if given(r.Prompt) {
		return structs.PromptPrefixes(r.Prompt)
	}
	return structs.PromptPrefixes(r.Messages)
}

func promptTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// TokenText returns the text of the token at position pos of the answer to the
// model and prompt that content names (see ContentHash).
func TokenText(content uint64, pos int) string {
	const digits = 5
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], content)
	binary.LittleEndian.PutUint64(key[8:], uint64(pos))
	word := strconv.FormatUint(xxhash.Sum64(key[:]), 36)
	return " " + word[max(0, len(word)-digits):]
}

// ContentHash returns what TokenText needs of a request's body. Error: errs.BadRequest.
func ContentHash(body []byte) (uint64, error) {
	r, err := parseRequest(body)
	if err != nil {
		return 0, err
	}
	return r.contentHash(), nil
}

// Expect returns the text of the first n tokens of the answer to body. It is
// empty for a body that an engine refuses.
func Expect(body []byte, n int) string {
	content, err := ContentHash(body)
	if err != nil {
		return ""
	}
	return expectText(content, 0, n)
}

func expectText(content uint64, from, to int) string {
	var b strings.Builder
	for pos := from; pos < to; pos++ {
		b.WriteString(TokenText(content, pos))
	}
	return b.String()
}
