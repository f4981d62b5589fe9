package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// WorkspaceSummary is the position of a workspace, for operators.
type WorkspaceSummary struct {
	ID          ID
	Name        string // empty if only peers have requests of the workspace
	IsOverShare bool
	Share       float64 // in slots, as Use, Lent and Offered
	Use         float64
	Lent        float64
	Offered     float64
	Rejected    int // requests of the workspace that this gateway has rejected because of its share
}

// Workspaces returns the positions of the workspaces with the most offered and served work at a service, at most
// limit, by the capacity that the last decision was based on. total is the number of all workspaces with work.
func (l *Ledger) Workspaces(now time.Time, service string, limit int) (list []WorkspaceSummary, total int) {
	s, ok := l.services[service]
	if !ok {
		return nil, 0
	}
	capacity := s.div.capacity
	s.eachUsage(now, func(u Usage) {
		if u.Offered == 0 && u.Served == 0 {
			return
		}
		d := l.decide(now, s, u.Workspace, capacity)
		summary := WorkspaceSummary{ID: u.Workspace, IsOverShare: d.IsOverShare, Share: d.Share, Use: d.Use, Lent: d.Lent, Offered: d.Offered}
		if a, ok := s.accounts[u.Workspace]; ok {
			summary.Name, summary.Rejected = a.name, int(a.rejected)
		}
		list = append(list, summary)
	})
	slices.SortFunc(list, func(a, b WorkspaceSummary) int {
		return cmp.Or(cmp.Compare(b.Offered+b.Use, a.Offered+a.Use), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(limit, len(list))], len(list)
}
