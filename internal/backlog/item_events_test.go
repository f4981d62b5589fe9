package backlog

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/platform"
)

// Guards against a text that holds an event twice, lacks the end of a line, or goes on with another run from its beginning: a
// target sends comments, repeats events, ignores after which event it is to go on, or sends events without an id, and then
// breaks off.
func TestOnlyEventsThatFollowAreAppended(t *testing.T) {
	event := func(item string, i int) string { return fmt.Sprintf("id: %d\ndata: %s:%d@v0\n\n", i, item, i) }
	for name, first := range map[string]func(item string) string{
		"comments":                    func(item string) string { return ": a\n\n" + event(item, 1) + ": b\n\n: c\n\n" },
		"events of the run twice":     func(item string) string { return event(item, 1) + event(item, 2) + event(item, 2) + event(item, 3) },
		"begins again within the run": func(item string) string { return event(item, 1) + event(item, 2) + event(item, 1) + event(item, 2) },
		"event without an id":         func(item string) string { return event(item, 1) + "data: " + item + ":2@v0\n\n" },
		"whole, with comments": func(item string) string {
			var b strings.Builder
			for i := 1; i <= itemEvents; i++ {
				b.WriteString(": a\n\n" + event(item, i) + ": b\n\n: c\n\n")
			}
			return b.String() + endMark
		},
		"whole, with an event without an id": func(item string) string {
			var b strings.Builder
			for i := 1; i <= itemEvents; i++ {
				b.WriteString(strings.Replace(event(item, i), "id: 2\n", "", 1))
			}
			return b.String() + endMark
		},
		"id without a number": func(item string) string { return event(item, 1) + "id\ndata: " + item + ":2@v0\n\n" },
	} {
		t.Run(name, func(t *testing.T) {
			withVersions(t, 1, 1, func(t *testing.T, cl *cluster) {
				j := cl.job("a", "ok")
				item := j.Items[0].ID
				cl.targets.answers = map[string][]string{item: {first(item), event(item, 1) + event(item, 2)}}
				cl.nodes[0].submit(j)
				cl.checkResults(j, cl.nodes[0].results(j, 20*time.Second))
			})
		})
	}
}

// endMark stands for the orderly end of a scripted answer.
const endMark = "(end)"

// scriptedAnswer returns the next of the answers that are to come before the usual ones; ok is false if none is left. It is
// broken off after its last byte, unless it ends with endMark.
func (f *fakeTargets) scriptedAnswer(id string) (body io.ReadCloser, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.answers[id]
	if len(left) == 0 {
		return nil, false
	}
	f.answers[id] = left[1:]
	if text, isWhole := strings.CutSuffix(left[0], endMark); isWhole {
		return io.NopCloser(strings.NewReader(text)), true
	}
	return io.NopCloser(io.MultiReader(strings.NewReader(left[0]), brokenReader{})), true
}

// brokenReader is a reader of a connection that has broken off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against results that are taken from the answer to another request: it has any status and any body.
func TestForeignAnswersCountForNothing(t *testing.T) {
	for _, status := range []int{200, 421, 422, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, cl *cluster) {
				foreign := 5
				cl.targets.intercept = func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error, bool) {
					if foreign == 0 {
						return nil, nil, false
					}
					foreign--
					return &platform.TargetAnswer{Status: status, Foreign: true, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: other\n\n"))}, nil, true
				}
				j := cl.job("a", "ok")
				cl.nodes[0].submit(j)
				cl.checkResults(j, cl.nodes[0].results(j, 30*time.Second))
				if foreign != 0 {
					t.Errorf("%d foreign answers were not sent", foreign)
				}
			})
		})
	}
}
