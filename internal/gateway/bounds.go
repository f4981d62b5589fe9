package gateway

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/events"
	"arbutusramp/core/limit"
)

const (
	// maxAnswerMemory bounds what all attempts hold of large answers if the options do not, in bytes: a target that sends without
	// end may be asked by many requests at once.
	maxAnswerMemory = 24 << 20
	// minBuffer is the size with which a bodyBuffer begins; most answers have less than 1 KB.
	minBuffer = 1 << 10
	// freeBuffer is the size up to which a bodyBuffer takes nothing from maxAnswerMemory. The largest whole answers of the
	// deployments have 5 KB.
	freeBuffer = 64 << 10
)

// oversizedAnswersMetric counts the attempts whose target has sent more bytes than an answer may have.
const oversizedAnswersMetric = "online.oversized_answers"

// noteOversized counts and logs that the answer was ended with err because it has exceeded a bound. The target counts as
// failing: it would send bytes without end to other callers as well, unless it was only the memory that other answers hold.
// The content of the request is not blamed, since the target has not crashed under it.
func (a *attempt) noteOversized(err error) {
	a.cancel() // the connection is closed at once, with what the target still sends
	metrics.GetOrRegisterCounter(oversizedAnswersMetric, a.gw.reg).Inc(1)
	a.gw.log.Warn("answer exceeds its bound", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "request", a.req.ID, "route", a.route.Name, "error", err.Error())
	if !errors.Is(err, events.ErrNoMemory) {
		a.noteTargetFailure(string(errs.AnswerTooLarge))
	}
}

// bodyBuffer holds the beginning of an answer's body, or all of it.
type bodyBuffer struct {
	memory  *limit.Memory
	data    []byte
	taken   int64 // from memory
	isWhole bool  // the body has been read to its end
}

// newBodyBuffer returns an empty buffer that takes from memory what it holds beyond freeBuffer. release gives it back.
func newBodyBuffer(memory *limit.Memory) *bodyBuffer {
	return &bodyBuffer{memory: memory, data: make([]byte, 0, minBuffer)}
}

// fill reads body until its end, until the buffer has maxBufferedBytes, or until no memory is left. A body that is not
// whole then is passed on from there, which costs no more than the second attempt at its request. Errors: those of body.
func (b *bodyBuffer) fill(body io.Reader) error {
	for {
		if len(b.data) == cap(b.data) && !b.grow() {
			return nil
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			b.isWhole = true
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the capacity of the buffer and reports true if its bound and the memory allow that. The buffer that it
// outgrows is counted as well.
func (b *bodyBuffer) grow() bool {
	size := 2 * cap(b.data)
	if size > maxBufferedBytes {
		return false
	}
	if need := int64(size + cap(b.data)); size > freeBuffer {
		if !b.memory.Take(need - b.taken) {
			return false
		}
		b.taken = need
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// release gives back the memory that the buffer holds. The buffer must not be used any more.
func (b *bodyBuffer) release() {
	b.memory.Return(b.taken)
	b.data, b.taken = nil, 0
}
