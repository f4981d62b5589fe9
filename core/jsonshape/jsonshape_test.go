package jsonshape

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against a count that differs from what the decoder makes of a list, so that one of more elements is decoded or a valid one
// rejected.
func TestMeasureCountsWhatIsDecoded(t *testing.T) {
	for body, items := range map[string]int{
		`{"items":[]}`:   1, // the decoder rejects it
		`{"items":[{}]}`: 1,
		`{"items":[{},{"a":[1,2,3],"b":{"c":1}},{}]}`: 3,
		`{"Items":[null,null]}`:                       2,
		`{"\u0069tem\u017f":[0,0,0]}`:                 3,
		`{"items":[{"id":"a,b\",[{"},{}]}`:            2,
		`{"x":[1,2,3],"items":[{}]}`:                  1,
		`{"x":{"items":[1,2,3]}}`:                     0,
		`{"items":[1,2,3],"items":[1]}`:               3,
		`{"items":"items","x":[1,2]}`:                 0,
		` { "items" : [ { } , { } ] } `:               2,
		`{"items":[{"id":"\\"},{"id":"\\\""}]}`:       2,
	} {
		if got := Measure([]byte(body), "items").Elements; got != items {
			t.Errorf("%s: %d items, want %d", body, got, items)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		n := 1 + rng.IntN(5)
		docs := make([]any, n)
		for i := range docs {
			docs[i] = map[string]any{"id": strings.Repeat(string(rune(rng.IntN(0x80))), rng.IntN(4)), "x": []any{rng.IntN(9), `,"]}[{\`}}
		}
		body, err := json.Marshal(map[string]any{"a": []int{1, 2}, "items": docs, "z": `"items":[`})
		if err != nil {
			t.Fatal(err)
		}
		if got := Measure(body, "items").Elements; got != n {
			t.Fatalf("%s: %d items, want %d", body, got, n)
		}
	}
}

// Guards against bodies that end in the middle of something, which Measure must get through without a panic.
func FuzzMeasure(f *testing.F) {
	f.Add([]byte(`{"items":[{"id":"a\`))
	f.Add([]byte(`"`))
	f.Fuzz(func(t *testing.T, body []byte) {
		shape := Measure(body, "items")
		var doc struct {
			Items []json.RawMessage `json:"items"`
		}
		if json.Unmarshal(body, &doc) == nil && len(doc.Items) > shape.Elements {
			t.Errorf("%d items, measured %d", len(doc.Items), shape.Elements)
		}
	})
}
