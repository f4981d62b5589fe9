package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report returns the usage of the workspaces with the most work at this gateway and the sum of the others, by
// service. It returns nil if the last report is too recent and if there is no work to report. A service
// whose work has ended is reported with an empty sum, which replaces what the peers know, until the window has
// passed twice.
func (l *Ledger) Report(now time.Time) []Usage {
	if !l.lastReport.IsZero() && now.Sub(l.lastReport) < l.reportInterval() {
		return nil
	}
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[name]
		s.sweep(now)
		if s.bucketOf(now)-s.lastWork > 2*bucketCount {
			l.dropIfUnused(name, s)
			continue
		}
		list = append(list, s.report(now, name)...)
	}
	if len(list) > 0 {
		l.lastReport = now
	}
	return list
}

// reportInterval returns the shortest time between two reports.
func (l *Ledger) reportInterval() time.Duration {
	for _, s := range l.services {
		if s.div.offered >= busyShare*s.div.capacity && s.div.capacity > 0 {
			return busyReportInterval
		}
	}
	return quietReportInterval
}

// dropIfUnused drops a service without work at this gateway and its peers.
func (l *Ledger) dropIfUnused(name string, s *service) {
	if len(s.accounts) == 0 && len(s.peers) == 0 && s.rest.members < 0.5 {
		delete(l.services, name)
	}
}

// report returns the usage of a service. It always contains the sum of the unlisted workspaces if it would
// otherwise be empty.
func (s *service) report(now time.Time, name string) []Usage {
	span := s.span(now)
	list := make([]Usage, 0, len(s.accounts))
	for id, a := range s.accounts {
		a.advance(s.bucketOf(now))
		list = append(list, Usage{Service: name, Workspace: id, Offered: a.offered.sum() / span, Served: a.served.sum() / span})
	}
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Offered+b.Served, a.Offered+a.Served), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(list) > 0 && len(list) <= maxListed {
		return list
	}
	rest := Usage{Service: name, Workspace: RestID}
	for _, u := range list[min(maxListed, len(list)):] {
		rest.Offered, rest.Served = rest.Offered+u.Offered, rest.Served+u.Served
	}
	return append(slices.Clone(list[:min(maxListed, len(list))]), rest)
}
