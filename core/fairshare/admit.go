package fairshare

import "time"

const (
	// initialCredit is the credit of a workspace without history: half a request rounds neither way.
	initialCredit = 0.5
	// maxCredit bounds the requests that a workspace over its share may have admitted at once after a time
	// without a free slot.
	maxCredit = 2
)

// Admission is the decision on a request of a workspace.
type Admission struct {
	Decision
	// HasCredit is set for a request of a workspace over its share if the share is not used up. Of the requests of
	// such a workspace every gateway passes the portion share/offered, so that all gateways together pass the
	// share without coordination. The caller uses the credit by TakeCredit if it admits or queues the request.
	HasCredit bool
}

// Admit returns the decision on a request that has just been offered. A request of a workspace over its share adds
// to the credit of the workspace.
func (l *Ledger) Admit(now time.Time, service, workspace string, capacity float64) Admission {
	adm := Admission{Decision: l.Decide(now, service, workspace, capacity)}
	if !adm.IsOverShare {
		return adm
	}
	_, a := l.account(now, service, workspace)
	if a == nil {
		return adm
	}
	a.credit = min(maxCredit, a.credit+float32(adm.Share/adm.Offered))
	adm.HasCredit = a.credit >= 1 && !adm.IsUsedUp
	return adm
}

// TakeCredit records that a request of a workspace over its share is admitted or queued.
func (l *Ledger) TakeCredit(now time.Time, service, workspace string) {
	if _, a := l.account(now, service, workspace); a != nil {
		a.credit--
	}
}

// ReturnCredit takes back a TakeCredit for a request that is rejected after all.
func (l *Ledger) ReturnCredit(now time.Time, service, workspace string) {
	if _, a := l.account(now, service, workspace); a != nil {
		a.credit = min(maxCredit, a.credit+1)
	}
}

// NoteRejection records that a request of a workspace was rejected because of its share.
func (l *Ledger) NoteRejection(now time.Time, service, workspace string) {
	if _, a := l.account(now, service, workspace); a != nil {
		a.rejected++
	}
}
