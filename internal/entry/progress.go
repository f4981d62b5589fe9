package entry

import (
	"encoding/json"
	"strings"

	"arbutusramp/core/errs"
)

// progress is how far an answer has come: what a resume on another target needs
// and what a whole answer is joined from.
type progress struct {
	next    int // position of the next part
	first   chunk
	choices []joined
	usage   json.RawMessage
}

// chunk is one event of a model engine's stream.
type chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Delta  delta  `json:"delta"`
	Finish string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type joined struct {
	text   strings.Builder
	role   string
	finish string
}

// maxChoices bounds the answers to one prompt.
const maxChoices = 128

// add takes in one event. Error: errs.BadFrame.
func (p *progress) add(event []byte) *errs.Error {
	var ev chunk
	if err := json.Unmarshal(event, &ev); err != nil {
		return errs.Newf(errs.BadFrame, "a part of the answer is not JSON: %v", err)
	}
	if p.first.ID == "" {
		p.first = chunk{ID: ev.ID, Created: ev.Created, Model: ev.Model}
	}
	if len(ev.Usage) > 0 && string(ev.Usage) != "null" {
		p.usage = ev.Usage
	}
	for _, c := range ev.Choices {
		if c.Index < 0 || c.Index >= maxChoices {
			return errs.Newf(errs.BadFrame, "a part of the answer has choice %d", c.Index)
		}
		p.choice(c.Index).add(c)
	}
	return nil
}

func (p *progress) choice(i int) *joined {
	if i >= len(p.choices) {
		// A strings.Builder must not be copied once it was written to.
		grown := make([]joined, i+1)
		for j := range p.choices {
			grown[j].text.WriteString(p.choices[j].text.String())
			grown[j].role, grown[j].finish = p.choices[j].role, p.choices[j].finish
		}
		p.choices = grown
	}
	return &p.choices[i]
}

func (j *joined) add(c choice) {
	j.text.WriteString(c.Text)
	j.text.WriteString(c.Delta.Content)
	if c.Delta.Role != "" {
		j.role = c.Delta.Role
	}
	if c.Finish != "" {
		j.finish = c.Finish
	}
}

// text is what was generated so far for the first choice.
func (p *progress) text() string {
	if len(p.choices) == 0 {
		return ""
	}
	return p.choices[0].text.String()
}

// completion is a whole answer in the shape of this field's clients.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole joins the events to one answer.
func (p *progress) whole(chat bool) ([]byte, *errs.Error) {
	out := completion{
		ID: p.first.ID, Object: "text_completion",
		Created: p.first.Created, Model: p.first.Model, Usage: p.usage,
	}
	if chat {
		out.Object = "chat.completion"
	}
	out.Choices = make([]wholeChoice, len(p.choices))
	for i := range p.choices {
		out.Choices[i] = p.choices[i].whole(i, chat)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "join the answer: %v", err)
	}
	return body, nil
}

func (j *joined) whole(i int, chat bool) wholeChoice {
	text := j.text.String()
	if !chat {
		return wholeChoice{Index: i, Text: &text, Finish: j.finish}
	}
	role := j.role
	if role == "" {
		role = "assistant"
	}
	return wholeChoice{Index: i, Message: &message{Role: role, Content: text}, Finish: j.finish}
}
