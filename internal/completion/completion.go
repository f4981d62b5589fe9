// Package completion has the JSON shapes of generated answers, as clients of OpenAI's
// interface know them: the events of a stream and the whole answer.
package completion

import (
	"cmp"
	"encoding/json"

	"arbutusramp/core/errs"
)

// The values of Answer.Object.
const (
	ObjectChat = "chat.completion"
	ObjectText = "text_completion"
)

const roleAssistant = "assistant"

// Chunk is one event of a model engine's stream, of a chat or of a text completion.
type Chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"` // seconds since 1970
	Model   string          `json:"model"`
	Choices []ChunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// ChunkChoice is what a Chunk adds to one of the answers to a prompt.
type ChunkChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`  // of a text completion
	Delta        Delta  `json:"delta"` // of a chat
	FinishReason string `json:"finish_reason"`
}

// Delta is a part of a chat's message.
type Delta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is a whole answer.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since 1970
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is a Usage, or what the engine gave in its place.
	Usage json.RawMessage `json:"usage,omitempty"`
}

// Choice is one of the answers to a prompt, with either a Message or a Text.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatChoice returns a choice of a chat; an empty role is that of an assistant.
func ChatChoice(index int, role, text, finish string) Choice {
	m := &Message{Role: cmp.Or(role, roleAssistant), Content: text}
	return Choice{Index: index, Message: m, FinishReason: finish}
}

// TextChoice returns a choice of a text completion.
func TextChoice(index int, text, finish string) Choice {
	return Choice{Index: index, Text: &text, FinishReason: finish}
}

// Encode returns a as JSON. Error: errs.Internal.
func (a *Answer) Encode() ([]byte, *errs.Error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "encode the answer: %v", err)
	}
	return body, nil
}
