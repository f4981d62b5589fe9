package side

import (
	"encoding/json"
	"strings"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// event is what the side reads of an engine's event: an OpenAI-shaped chunk of
// a chat or of a text completion.
type event struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// progress is how far a generation has come.
type progress struct {
	next   int // position of the next token
	text   strings.Builder
	id     string
	model  string
	finish string
	since  int64 // the engine's own time of creation, seconds since 1970
}

// resume starts at a position that an earlier run has reached.
func (p *progress) resume(next int, text string) {
	p.next = next
	p.text.WriteString(text)
}

// add notes the token at position next. An event that can't be read adds no text; it
// is passed on as it came.
func (p *progress) add(data []byte) {
	p.next++
	var e event
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	c := e.Choices[0]
	p.text.WriteString(c.Text)
	p.text.WriteString(c.Delta.Content)
	if c.FinishReason != "" {
		p.finish = c.FinishReason
	}
	p.id, p.model, p.since = e.ID, e.Model, e.Created
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// body returns the whole answer in the shape that callers of a completion get.
func (p *progress) body(g *structs.Generate) ([]byte, error) {
	text := p.text.String()
	c := choice{Text: &text, FinishReason: p.finish}
	object := "text_completion"
	if g.Chat {
		c = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: p.finish}
		object = "chat.completion"
	}
	model := p.model
	if model == "" {
		model = string(g.Model)
	}
	body, err := json.Marshal(completion{
		ID: p.id, Object: object, Created: p.since, Model: model,
		Choices: []choice{c},
		Usage:   usage{g.PromptTokens, p.next, g.PromptTokens + p.next},
	})
	if err != nil {
		return nil, errs.Newf(errs.Internal, "encode completion: %v", err)
	}
	return body, nil
}
