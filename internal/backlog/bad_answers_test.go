package backlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// The guarantees of TestRandomFaultsLoseAndDuplicateNothing must also hold if targets answer items with answers to other
// requests, lose answers, break them off inside an event, and send events twice, comments, or the stream from its beginning:
// a text never holds an event twice nor one of another item, and no item gets its outcome from an answer that is not its own.
func TestRandomFaultsWithBadAnswers(t *testing.T) {
	for seed := *randomSeed; seed < *randomSeed+uint64(*randomSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fr := newFaultRun(t, seed)
				fr.hasLateWrites = seed%3 == 0
				fr.targets.intercept = (&badAnswers{targets: fr.targets, seed: seed}).answer
				fr.run()
			})
		})
	}
}

// badAnswers damages a part of the answers of targets.
type badAnswers struct {
	targets *fakeTargets
	seed    uint64
}

// answer is a fakeTargets.intercept. What it does depends on the seed, the item and the number of its run only.
func (b *badAnswers) answer(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
	id := c.Request.ID
	rng := rand.New(rand.NewPCG(b.seed, xxhash.Sum64String(fmt.Sprint(id, " ", b.targets.runCount(id)))))
	switch rng.IntN(10) {
	case 0, 1:
		status := []int{200, 421, 422, 429, 500, 503}[rng.IntN(6)]
		body := "id: 1\ndata: other:1@v0\n\nid: 2\ndata: other:2@v0\n\n"
		return &platform.TargetAnswer{Status: status, Header: http.Header{}, Foreign: true, Length: -1, Body: io.NopCloser(strings.NewReader(body))}, nil, true
	case 2:
		return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown), true
	case 3:
		return &platform.TargetAnswer{Status: []int{429, 502, 503, 504}[rng.IntN(4)], Header: http.Header{}, Length: 0, Body: http.NoBody}, nil, true
	case 4, 5, 6:
		if !strings.HasPrefix(id, "ok") {
			return nil, nil, false
		}
		damage := &damagedStream{ReadCloser: b.targets.stream(ctx, c), rng: rng}
		return &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: damage}, nil, true
	}
	return nil, nil, false
}

// damagedStream repeats events of a stream, puts comments between them, and breaks it off inside one.
type damagedStream struct {
	io.ReadCloser
	rng  *rand.Rand
	sent []byte // whole events so far
	left []byte // to be read before the stream
	err  error
}

// Read implements io.Reader. Each read of the stream returns one event.
func (d *damagedStream) Read(p []byte) (int, error) {
	if len(d.left) == 0 && d.err == nil {
		d.fill()
	}
	if len(d.left) > 0 {
		n := copy(p, d.left)
		d.left = d.left[n:]
		return n, nil
	}
	return 0, d.err
}

func (d *damagedStream) fill() {
	event := make([]byte, 4<<10)
	n, err := d.ReadCloser.Read(event)
	d.left, d.err = event[:n], err
	if n == 0 {
		return
	}
	switch d.rng.IntN(20) {
	case 0:
		d.left = bytes.Repeat(d.left, 2)
	case 1:
		d.left = append([]byte(": comment\n\n"), d.left...)
	case 2:
		d.left = append(d.left, d.sent...) // begins again
	case 3:
		d.left, d.err = d.left[:d.rng.IntN(n)], io.ErrUnexpectedEOF
	}
	d.sent = append(d.sent, event[:n]...)
}
