package completion

import (
	"encoding/json"
	"testing"
)

func TestAnswersHaveTheClientsShape(t *testing.T) {
	tests := map[string]struct {
		answer Answer
		want   string
	}{
		"chat": {
			Answer{ID: "r", Object: ObjectChat, Created: 7, Model: "m", Choices: []Choice{ChatChoice(0, "", "hi", "stop")}},
			`{"id":"r","object":"chat.completion","created":7,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"hi"},"finish_reason":"stop"}]}`,
		},
		"text": {
			Answer{ID: "r", Object: ObjectText, Model: "m", Choices: []Choice{TextChoice(1, "", "length")}, Usage: json.RawMessage(`{"x":1}`)},
			`{"id":"r","object":"text_completion","created":0,"model":"m","choices":[{"index":1,"text":"","finish_reason":"length"}],"usage":{"x":1}}`,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := tc.answer.Encode()
			if err != nil || string(got) != tc.want {
				t.Fatalf("%s, %v", got, err)
			}
		})
	}
}
