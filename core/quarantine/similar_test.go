package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"arbutusramp/core/serving"
)

// randomText returns text of words of random letters, of n bytes.
func randomText(rng *rand.Rand, n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyz     "[rng.IntN(31)]
	}
	return string(text)
}

// subjectOf returns the subject of a request of the workspace w and the route r with a body, from a caller's address.
func subjectOf(body, callerAddr string) Subject {
	r := &serving.Request{Method: "POST", Host: "h", URI: "/x", Body: []byte(body), CallerAddr: callerAddr, Caller: serving.Caller{Workspace: "w"}}
	return NewContent(r).SetRoute("r").Subject()
}

// countShared returns how many similarity scopes two requests have in common.
func countShared(a, b Subject) int {
	n := 0
	for i := range a.Similar {
		if i < len(b.Similar) && a.Similar[i] == b.Similar[i] {
			n++
		}
	}
	return n
}

// Guards against two errors: bodies that differ in a byte that do not count as similar, so that a caller evades the
// quarantine; and prompts that do because they begin with the same instructions, so that a caller blocks others.
func TestSimilarityOfBodies(t *testing.T) {
	const pairs = 200
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{40, 100, 300, 600, 2000, 20000} {
		similar, falselySimilar := 0, 0
		for range pairs {
			instructions := randomText(rng, size/3)
			body := instructions + randomText(rng, size-len(instructions))
			changed := []byte(body)
			changed[rng.IntN(size)] = '#'
			if countShared(subjectOf(body, ""), subjectOf(string(changed), "")) >= minSimilarScopes {
				similar++
			}
			if countShared(subjectOf(body, ""), subjectOf(instructions+randomText(rng, size-len(instructions)), "")) >= minSimilarScopes {
				falselySimilar++
			}
		}
		if similar < pairs*95/100 || falselySimilar > pairs/20 {
			t.Errorf("bodies of %d bytes: %d of %d similar that differ in a byte, %d that share the first third; want at least 190 and at most 10", size, similar, pairs, falselySimilar)
		}
	}
	for i := range 100 {
		if n := countShared(subjectOf("crash0", ""), subjectOf(fmt.Sprint("crash", i), "")); n < minSimilarScopes {
			t.Errorf("short bodies that differ in a counter have %d scopes in common, want 2 or more", n)
		}
	}
	if s := subjectOf("17", ""); len(s.Similar) > 0 {
		t.Error("a body of two digits has similarity scopes, want none: it would be similar to all other numbers")
	}
}

// BenchmarkSimilarHashes measures what the similarity scopes of a content cost. They are computed once per request, and
// only while records are known.
func BenchmarkSimilarHashes(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{300, 1500, 15000, 1000000} {
		body := []byte(randomText(rng, size))
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			for b.Loop() {
				similarHashes(body)
			}
		})
	}
}
