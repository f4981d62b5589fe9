package entry

import (
	"strconv"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

// Quarantine keeps requests under which targets have crashed from targets.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if a request must not be sent to a target.
	Check(c *quarantine.Content) error
	// AdmitRequest is Check for a request that is about to be sent.
	AdmitRequest(c *quarantine.Content) error
	// NoteBrokenOff notes a run that a target has broken off.
	NoteBrokenOff(b quarantine.BrokenRun)
	// NoteServed notes that a target has served a request whole.
	NoteServed(c *quarantine.Content, answeredAt time.Time)
	// DueForPeers returns the records that other entries should be told now.
	DueForPeers() []quarantine.Record
	// Changed gets a token when there are some.
	Changed() <-chan struct{}
	// ApplyRecords takes in what another entry tells.
	ApplyRecords(list []quarantine.Record)
	// NotePeerStarted has what is quarantined told again.
	NotePeerStarted()
}

// noQuarantine sends every request on.
type noQuarantine struct{}

func (noQuarantine) Check(*quarantine.Content) error           { return nil }
func (noQuarantine) AdmitRequest(*quarantine.Content) error    { return nil }
func (noQuarantine) NoteBrokenOff(quarantine.BrokenRun)        {}
func (noQuarantine) NoteServed(*quarantine.Content, time.Time) {}
func (noQuarantine) DueForPeers() []quarantine.Record          { return nil }
func (noQuarantine) Changed() <-chan struct{}                  { return nil }
func (noQuarantine) ApplyRecords([]quarantine.Record)          {}
func (noQuarantine) NotePeerStarted()                          {}

// contentOf is what the request and its repeats have in common.
func contentOf(a *accepted, req *classified) *quarantine.Content {
	return quarantine.NewContent(&serving.Request{
		ID: string(a.id), Caller: serving.Caller{Workspace: string(a.workspace)}, Method: req.method, URI: req.path, Body: req.body,
	})
}

// noteCrash counts the crash of the attempt's target against the request.
func (c *call) noteCrash(err *errs.Error) {
	if err.Type != errs.TargetCrashed {
		return
	}
	c.e.quarantine.NoteBrokenOff(quarantine.BrokenRun{
		Content: c.content, Target: serving.Target{ID: string(c.target.id)}, StartID: err.Start, BeganAt: c.sentAt,
		FromEvent: position(c.from), ToEvent: position(c.progress.next), HasPassed: c.hasPassed(), HasCrashed: true, Err: err,
	})
}

// hasPassed says whether the attempt had gone on for quarantine.MinPassDuration after its first byte.
func (c *call) hasPassed() bool {
	return c.firstByte > 0 && c.e.now().Sub(c.sentAt)-c.firstByte >= quarantine.MinPassDuration
}

// position is the place in an answer after which a run goes on; empty for its start.
func position(tokens int) string {
	if tokens == 0 {
		return ""
	}
	return strconv.Itoa(tokens)
}
