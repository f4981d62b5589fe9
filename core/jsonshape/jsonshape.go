// Package jsonshape measures JSON before it is decoded: what its parts take in memory has nothing to do with their size in the
// text. It does no I/O.
package jsonshape

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Shape is what the decoding of an object depends on beside the size of its text.
type Shape struct {
	Elements int // of the longest list under the key that was asked for
	Strings  int // in the whole text
}

// MaxEscapedBytes is the largest number of bytes of JSON that stand for one byte of a string.
const MaxEscapedBytes = 6

// Measure returns the shape of the object in text, with the list under a key of ASCII letters, without decoding it. It reads valid
// JSON only as encoding/json does; of other texts the result has no meaning, and the decoder rejects them.
func Measure(text []byte, listKey string) Shape {
	var shape Shape
	depth, count := 0, 0 // count is 0 outside of the list
	var key []byte       // the last string of the outermost object
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			end := i + stringLength(text[i:])
			shape.Strings++
			if depth == 1 {
				key = text[i:end]
			}
			i = end - 1
		case '{', '[':
			depth++
			if depth == 2 && text[i] == '[' && isKey(key, listKey) {
				count = 1
			}
		case '}', ']':
			if depth == 2 {
				shape.Elements, count = max(shape.Elements, count), 0
			}
			depth--
		case ',':
			if depth == 2 && count > 0 {
				count++
			}
		}
	}
	shape.Elements = max(shape.Elements, count)
	return shape
}

// stringLength returns the length of the JSON string at the beginning of text, with its quotes.
func stringLength(text []byte) int {
	for end := 1; ; {
		n := bytes.IndexAny(text[end:], `"\`)
		switch {
		case n < 0:
			return len(text)
		case text[end+n] == '"':
			return end + n + 1
		}
		end = min(end+n+2, len(text)) // an escaped byte
	}
}

// isKey reports whether the decoder takes a JSON string for the key. It ignores case.
func isKey(quoted []byte, key string) bool {
	var got string
	return len(quoted) <= len(`""`)+MaxEscapedBytes*len(key) && json.Unmarshal(quoted, &got) == nil && strings.EqualFold(got, key)
}
