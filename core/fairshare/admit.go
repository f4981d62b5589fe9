package fairshare

import "time"

const (
	// initialCredit is the credit of a workspace without history: half a request rounds neither way.
	initialCredit = 0.5
	// maxCredit bounds the requests that a workspace over its share may have admitted at once after a time
	// without a free slot. Several gateways fill the same free slots, so that a higher bound overfills them.
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
// to the credit of the workspace. higherRanks is the number of ranks that are more urgent than the request.
func (l *Ledger) Admit(now time.Time, service, workspace string, higherRanks int, capacity float64) Admission {
	adm := Admission{Decision: l.Decide(now, service, workspace, capacity)}
	if !adm.IsOverShare {
		return adm
	}
	_, a := l.account(now, service, workspace)
	if a == nil {
		return adm
	}
	a.higherRanks = max(a.higherRanks, uint8(min(higherRanks, maxHigherRanks)))
	a.addCredit(float32(adm.Share / adm.Offered))
	// After a less urgent request is admitted there is still credit for one of the next more urgent rank, so that the
	// workspace uses its share for its most urgent requests first.
	adm.HasCredit = a.credit >= 1+float32(min(higherRanks, maxHigherRanks)) && !adm.IsUsedUp
	return adm
}

// maxHigherRanks bounds the number of more urgent ranks that a decision takes into account.
const maxHigherRanks = 4

// addCredit adds to the credit of a workspace, up to what its least urgent requests need and one more.
func (a *account) addCredit(credit float32) {
	a.credit = min(maxCredit+float32(a.higherRanks), a.credit+credit)
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
		a.addCredit(1)
	}
}

// NoteRejection records that a request of a workspace was rejected because of its share.
func (l *Ledger) NoteRejection(now time.Time, service, workspace string) {
	if _, a := l.account(now, service, workspace); a != nil {
		a.rejected++
	}
}
