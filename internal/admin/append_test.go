package admin

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/internal/adapter/logmem"
)

// Symptom: an operator who confirms again changes the configuration twice, or reads
// that the own plan came first.
// Sequence: the entry is killed after its append; the confirm is sent to another one.
// Cause: the copy is taken as a new confirm.
func TestEntryKilledAfterItsAppend(t *testing.T) {
	bubble(t, 2, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		log.SetFaults(logmem.Faults{LoseAnswer: 1})
		done := make(chan error, 1)
		go func() {
			_, err := n[0].confirm("ann", p)
			done <- err
		}()
		n[0].kill()
		log.SetFaults(logmem.Faults{})
		<-done
		c, err := n[1].confirm("ann", p)
		if err != nil {
			t.Fatal(err)
		}
		again, err := n[1].confirm("ann", p)
		if err != nil || again != c {
			t.Errorf("first %+v, again %+v, error %v", c, again, err)
		}
	})
}

// Symptom: an operator believes that a plan is in force, and it is not in the log.
// Sequence: the entry is killed before its append takes effect.
// Cause: an answer that is given before the record was read back.
func TestEntryKilledBeforeItsAppend(t *testing.T) {
	bubble(t, 2, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		log.SetFaults(logmem.Faults{LoseRequest: 1})
		done := make(chan error, 1)
		go func() {
			_, err := n[0].confirm("ann", p)
			done <- err
		}()
		time.Sleep(10 * time.Millisecond)
		n[0].kill()
		if err := <-done; !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("the operator is told %v", err)
		}
		if n[1].follow.Current().Version != 0 {
			t.Fatal("the record is in the log")
		}
		log.SetFaults(logmem.Faults{})
		if c, err := n[1].confirm("ann", p); err != nil || c.Version != 1 {
			t.Errorf("at another entry: %+v, %v", c, err)
		}
	})
}

// Symptom: a change that a later one replaced comes back minutes after.
// Sequence: an append is answered as unknown; the operator confirms again and then changes the
// same thing; the first append takes effect only now.
func TestAppendThatLandsLate(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[policy]\nheadroom = 0.1")
		log.SetFaults(logmem.Faults{Late: 1, LateBy: time.Minute})
		_, err := n[0].confirm("ann", p)
		if !errs.Is(err, errs.AppendUnknown) {
			t.Fatalf("error %v", err)
		}
		log.SetFaults(logmem.Faults{})
		if _, err := n[0].confirm("ann", p); err != nil {
			t.Fatal(err)
		}
		if _, err := n[0].confirm("ann", n[0].plan("ann", "[policy]\nheadroom = 0.9")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		if n[0].follow.Current().Version < 3 {
			t.Fatal("the late append did not land")
		}
		if n[0].headroom() != 0.9 {
			t.Errorf("headroom %g, want 0.9", n[0].headroom())
		}
	})
}

// Symptom: an operator waits without end, or is told "done" by an entry that could not do it.
// Sequence: the log is down at the confirm.
func TestConfirmWhileTheLogIsDown(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[policy]\nheadroom = 0.1")
		log.SetFaults(logmem.Faults{Down: true})
		start := time.Now()
		_, err := n[0].confirm("ann", p)
		if !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("error %+v", errs.As(err))
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("told after %v", took)
		}
		if status, _ := n[0].call("ann", "GET", PathStatus, nil); status != fasthttp.StatusOK {
			t.Errorf("status is not served: %d", status)
		}
		log.SetFaults(logmem.Faults{})
		if _, err := n[0].confirm("ann", p); err != nil {
			t.Errorf("afterwards: %v", err)
		}
	})
}

// Symptom: a confirm is refused although it is in force.
// Sequence: every answer of the log to an append is lost, and its reads work.
func TestLostAnswersAreFoundByReadingBack(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		log.SetFaults(logmem.Faults{LoseAnswer: 1})
		c, err := n[0].confirm("ann", n[0].plan("ann", "[policy]\nheadroom = 0.1"))
		if err != nil || c.Version != 1 {
			t.Errorf("confirmed %+v, error %v", c, err)
		}
	})
}
