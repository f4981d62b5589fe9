package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"arbutusramp/core/fairshare"
)

// Bounds of a Scheduling. With them its JSON takes less than 2 MB, whatever the size of the deployment.
const (
	maxTargetStates    = 200
	maxServiceStates   = 64
	maxWorkspaceStates = 100 // of a service
	// forecastAhead is how far ahead the demand of a service is forecast for operators.
	forecastAhead = time.Second
)

// Scheduling is what one gateway knows of targets, services and workspaces when it decides, for operators. Numbers
// of requests are those of all gateways, by their last reports.
type Scheduling struct {
	Targets         []TargetState  `json:"targets"` // the slowest first
	TargetsLeftOut  int            `json:"targets_left_out"`
	Services        []ServiceState `json:"services"` // the largest first
	ServicesLeftOut int            `json:"services_left_out"`
}

// TargetState is what is known of a target.
type TargetState struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	State    string  `json:"state"`    // in service, draining, probation or suspect
	Slowness float64 `json:"slowness"` // duration of work relative to the service, with the pace
	Pace     float64 `json:"pace"`     // part of Slowness that follows from the reported pace
	// WaitMs is the expected wait of an online request for a slot; 0 if one is free or held by a batch item, or if
	// no hold time is known.
	WaitMs int64 `json:"wait_ms"`
	Online int   `json:"online"`
	Batch  int   `json:"batch"`
	Slots  int   `json:"slots"`
	Runs   int   `json:"runs"`   // observed runs of all gateways
	AgeMs  int64 `json:"age_ms"` // since the last observed run; 0 if Runs is 0
}

// ServiceState is what is known of a service.
type ServiceState struct {
	Service string `json:"service"`
	Targets int    `json:"targets"` // neither draining nor suspect
	Slots   int    `json:"slots"`   // capacity of these targets
	// IsCostAware is set if targets of the service are chosen by expected time. Without it the demand is not
	// observed: Mean, Swing, PeriodMs and Forecast are 0.
	IsCostAware bool    `json:"is_cost_aware"`
	Online      int     `json:"online"`
	Batch       int     `json:"batch"`
	Mean        float64 `json:"mean"`
	Swing       float64 `json:"swing"`
	PeriodMs    int64   `json:"period_ms"` // 0 if the demand is not periodic
	IsRising    bool    `json:"is_rising"`
	Forecast    float64 `json:"forecast_1s"` // online requests expected in a second
	// DemandAgeMs is the age of the last observation of the demand; 0 if there is none.
	DemandAgeMs int64 `json:"demand_age_ms"`
	// WaitMs is the wait of an online request that arrives now, as admission control expects it, and HoldMs the
	// mean time for which requests hold a slot; 0 if unknown.
	WaitMs int64 `json:"wait_ms"`
	HoldMs int64 `json:"hold_ms"`
	// IsOverloaded is set while batch starts are suspended, because gateways reject or queue online requests.
	IsOverloaded      bool             `json:"is_overloaded"`
	OverloadMs        int64            `json:"overload_ms"`     // time since the overload began; 0 without one
	OverloadSource    Peer             `json:"overload_source"` // gateway that has noted it first
	IsShared          bool             `json:"is_shared"`       // capacity is divided between workspaces
	Workspaces        []WorkspaceState `json:"workspaces"`      // with the most work first
	WorkspacesLeftOut int              `json:"workspaces_left_out"`
}

// WorkspaceState is the position of a workspace at a service, in slots.
type WorkspaceState struct {
	// Workspace is its name, or digest: and its digest if only peers have requests of it.
	Workspace   string  `json:"workspace"`
	Share       float64 `json:"share"`
	Use         float64 `json:"use"`
	Lent        float64 `json:"lent"`
	Offered     float64 `json:"offered"`
	Rejected    int     `json:"rejected"` // by this gateway, because of the share
	IsOverShare bool    `json:"is_over_share"`
}

// TargetStates returns the state of the slowest targets, and how many others there are.
func (f *Fleet) TargetStates(now time.Time) (list []TargetState, leftOut int) {
	f.expirePeers(now)
	list = make([]TargetState, 0, len(f.targets))
	for _, c := range f.costs.Targets(now) {
		ts, ok := f.targets[c.ID]
		if !ok {
			continue
		}
		load := ts.totalLoad()
		list = append(list, TargetState{
			ID: c.ID, Service: c.Service, State: ts.stateName(now), Slowness: roundHundredths(c.Slowness), Pace: roundHundredths(c.Pace),
			WaitMs: f.expect(now, Work{Service: c.Service}, candidate{target: ts, load: load}).wait.Milliseconds(),
			Online: load.Online, Batch: load.Batch, Slots: ts.Slots, Runs: c.Runs, AgeMs: c.Age.Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b TargetState) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(b.WaitMs, a.WaitMs), cmp.Compare(a.ID, b.ID))
	})
	return firstOf(list, maxTargetStates)
}

// stateName returns whether the target gets requests.
func (ts *targetState) stateName(now time.Time) string {
	switch state := ts.health.state(now); {
	case ts.IsDraining:
		return "draining"
	case state == suspect:
		return "suspect"
	case state == probation:
		return "probation"
	}
	return "in service"
}

// ServiceStates returns the state of the services with the most slots, without their workspaces, and how many others
// there are.
func (f *Fleet) ServiceStates(now time.Time) (list []ServiceState, leftOut int) {
	f.expirePeers(now)
	for service, targets := range f.observed.lists(f.targets) {
		s := ServiceState{Service: service, IsCostAware: f.isCostAware(service), IsShared: f.IsSharing()}
		for _, ts := range targets {
			load := ts.totalLoad()
			s.Online, s.Batch = s.Online+load.Online, s.Batch+load.Batch
		}
		c := f.capacity(now, service)
		s.Targets, s.Slots = c.targets, c.slots
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ServiceState) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Service, b.Service))
	})
	list, leftOut = firstOf(list, maxServiceStates)
	for i := range list {
		f.addDemand(now, &list[i])
	}
	return list, leftOut
}

// addDemand adds the demand of a service, the expected wait and whether it is overloaded.
func (f *Fleet) addDemand(now time.Time, s *ServiceState) {
	estimate := f.Estimate(now, Work{Service: s.Service})
	s.WaitMs, s.HoldMs = estimate.Wait.Milliseconds(), estimate.HoldTime.Milliseconds()
	if f.isYielding(now, s.Service) {
		o := f.overloads[s.Service]
		s.IsOverloaded, s.OverloadMs, s.OverloadSource = true, now.Sub(o.began).Milliseconds(), o.source
	}
	d := f.demands.Summary(s.Service)
	if d.ObservedAt.IsZero() {
		return
	}
	s.Mean, s.Swing, s.PeriodMs, s.IsRising = roundHundredths(d.Mean), roundHundredths(d.Swing), d.Period.Milliseconds(), d.IsRising
	s.DemandAgeMs = now.Sub(d.ObservedAt).Milliseconds()
	online, _ := f.forecasts.Forecast(now, s.Service, forecastAhead)
	s.Forecast = roundHundredths(online)
}

// WorkspaceStates returns the positions of the workspaces with the most work at a service, and how many others
// there are.
func (f *Fleet) WorkspaceStates(now time.Time, service string) (list []WorkspaceState, leftOut int) {
	list = []WorkspaceState{}
	if f.sharing == nil {
		return list, 0
	}
	f.expirePeers(now)
	summaries, total := f.sharing.Workspaces(now, service, maxWorkspaceStates)
	for _, w := range summaries {
		list = append(list, WorkspaceState{
			Workspace: workspaceLabel(w), Share: roundHundredths(w.Share), Use: roundHundredths(w.Use), Lent: roundHundredths(w.Lent),
			Offered: roundHundredths(w.Offered), Rejected: w.Rejected, IsOverShare: w.IsOverShare,
		})
	}
	return list, total - len(list)
}

// workspaceLabel returns the name of a workspace or, if this gateway does not know it, its digest.
func workspaceLabel(w fairshare.WorkspaceSummary) string {
	if w.Name != "" {
		return w.Name
	}
	return fmt.Sprintf("digest:%08x", uint32(w.ID))
}

// OverloadedServices is the number of services whose batch starts are suspended because of an overload.
func (f *Fleet) OverloadedServices(now time.Time) int {
	n := 0
	for service := range f.overloads {
		if f.isYielding(now, service) {
			n++
		}
	}
	return n
}

// slowTargetFactor is the slowness from which a target counts as slow in metrics: its work takes twice as long as
// usual for its service.
const slowTargetFactor = 2

// SlowTargets is the number of targets whose work takes at least twice as long as usual for their service.
func (f *Fleet) SlowTargets(now time.Time) int {
	n := 0
	for id := range f.targets {
		if f.costs.Slowness(now, id) >= slowTargetFactor {
			n++
		}
	}
	return n
}

// firstOf returns the first elements of a list, at most limit, and how many follow.
func firstOf[T any](list []T, limit int) (first []T, leftOut int) {
	n := min(limit, len(list))
	return list[:n], len(list) - n
}

// roundHundredths rounds a number for operators; 0 if it is not finite, since JSON has no such numbers.
func roundHundredths(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return math.Round(100*x) / 100
}
