package side

import (
	"cmp"
	"encoding/json"
	"strings"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/completion"
)

// progress is how far a generation has come.
type progress struct {
	next    int // position of the next token
	text    strings.Builder
	id      string
	model   string
	finish  string
	created int64 // by the engine's clock, seconds since 1970
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
	var e completion.Chunk
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	c := e.Choices[0]
	p.text.WriteString(c.Text)
	p.text.WriteString(c.Delta.Content)
	if c.FinishReason != "" {
		p.finish = c.FinishReason
	}
	p.id, p.model, p.created = e.ID, e.Model, e.Created
}

// body returns the whole answer in the shape that callers of a completion get. Error: errs.Internal.
func (p *progress) body(g *structs.Generate) ([]byte, *errs.Error) {
	used, err := json.Marshal(completion.Usage{
		PromptTokens:     g.PromptTokens,
		CompletionTokens: p.next,
		TotalTokens:      g.PromptTokens + p.next,
	})
	if err != nil {
		return nil, errs.Newf(errs.Internal, "encode the usage: %v", err)
	}
	out := completion.Answer{
		ID: p.id, Object: completion.ObjectText,
		Created: p.created, Model: cmp.Or(p.model, string(g.Model)), Usage: used,
	}
	if g.Chat {
		out.Object = completion.ObjectChat
	}
	out.Choices = []completion.Choice{p.choice(g)}
	return out.Encode()
}

func (p *progress) choice(g *structs.Generate) completion.Choice {
	if g.Chat {
		return completion.ChatChoice(0, "", p.text.String(), p.finish)
	}
	return completion.TextChoice(0, p.text.String(), p.finish)
}
