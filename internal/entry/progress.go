package entry

import (
	"encoding/json"
	"strings"

	"arbutusramp/core/errs"
	"arbutusramp/internal/completion"
)

// progress is how far an answer has come: what a resume on another target needs
// and what a whole answer is joined from.
type progress struct {
	next    int // position of the next part
	first   completion.Chunk
	choices []joined
	usage   json.RawMessage
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
	var ev completion.Chunk
	if err := json.Unmarshal(event, &ev); err != nil {
		return errs.Newf(errs.BadFrame, "a part of the answer is not JSON: %v", err)
	}
	if p.first.ID == "" {
		p.first = completion.Chunk{ID: ev.ID, Created: ev.Created, Model: ev.Model}
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

func (j *joined) add(c completion.ChunkChoice) {
	j.text.WriteString(c.Text)
	j.text.WriteString(c.Delta.Content)
	if c.Delta.Role != "" {
		j.role = c.Delta.Role
	}
	if c.FinishReason != "" {
		j.finish = c.FinishReason
	}
}

// text is what was generated so far for the first choice.
func (p *progress) text() string {
	if len(p.choices) == 0 {
		return ""
	}
	return p.choices[0].text.String()
}

// whole joins the events to one answer. Error: errs.Internal.
func (p *progress) whole(chat bool) ([]byte, *errs.Error) {
	out := completion.Answer{
		ID: p.first.ID, Object: completion.ObjectText,
		Created: p.first.Created, Model: p.first.Model, Usage: p.usage,
	}
	if chat {
		out.Object = completion.ObjectChat
	}
	out.Choices = make([]completion.Choice, len(p.choices))
	for i := range p.choices {
		out.Choices[i] = p.choices[i].whole(i, chat)
	}
	return out.Encode()
}

func (j *joined) whole(i int, chat bool) completion.Choice {
	if chat {
		return completion.ChatChoice(i, j.role, j.text.String(), j.finish)
	}
	return completion.TextChoice(i, j.text.String(), j.finish)
}
