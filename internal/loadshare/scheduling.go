package loadshare

import (
	"math"
	"slices"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
)

// scheduling is the part of a report for cost-aware scheduling and the division of capacity between workspaces.
type scheduling struct {
	_            struct{} `cbor:",toarray"`
	Observations []targetObservation
	Overloaded   []digest         // services in overload
	Usage        []workspaceUsage // empty if it is as in the last report that had it
}

// Units of the encoded figures.
const (
	speedUnit       = 1.0 / 16             // of the sum of logarithms
	paceAgeUnit     = 8 * time.Millisecond // of the age of a pace
	slotUnit        = 1.0 / 100            // of the work of a workspace
	maxObservedRuns = 255
)

// targetObservation is an encoded costmodel.Observation.
type targetObservation struct {
	_        struct{} `cbor:",toarray"`
	Target   digest
	Runs     uint8
	SpeedSum int16  // in units of speedUnit
	Pace     uint16 // in percent
	PaceAge  uint8  // in units of paceAgeUnit
}

// workspaceUsage is an encoded fairshare.Usage.
type workspaceUsage struct {
	_         struct{} `cbor:",toarray"`
	Service   digest
	Workspace fairshare.ID
	Offered   uint32 // in units of slotUnit
	Served    uint32 // in units of slotUnit
}

// encodeScheduling returns the scheduling part of a report; nil if the report has nothing for it.
func encodeScheduling(r fleet.Report) *scheduling {
	if len(r.Observations) == 0 && len(r.Overloaded) == 0 && len(r.Usage) == 0 {
		return nil
	}
	s := &scheduling{Overloaded: newDigests(r.Overloaded)}
	for _, o := range r.Observations {
		s.Observations = append(s.Observations, targetObservation{
			Target: newDigest(o.Target), Runs: uint8(min(maxObservedRuns, o.Runs)), SpeedSum: int16(clamp(o.SpeedSum/speedUnit, math.MinInt16, math.MaxInt16)),
			Pace: uint16(clamp(100*o.Pace, 0, math.MaxUint16)), PaceAge: toUnits(o.PaceAge, paceAgeUnit),
		})
	}
	for _, u := range r.Usage {
		s.Usage = append(s.Usage, workspaceUsage{
			Service: newDigest(u.Service), Workspace: u.Workspace, Offered: uint32(clamp(u.Offered/slotUnit, 0, math.MaxUint32)), Served: uint32(clamp(u.Served/slotUnit, 0, math.MaxUint32)),
		})
	}
	return s
}

// clamp returns x rounded to a whole number and limited to a range; lo for NaN.
func clamp(x, lo, hi float64) float64 {
	if math.IsNaN(x) {
		return lo
	}
	return math.Round(min(hi, max(lo, x)))
}

// decode adds the scheduling part of a report to r. Entries of targets and services that index does not contain
// are left out.
func (s *scheduling) decode(r *fleet.Report, index targetIndex) {
	if s == nil {
		return
	}
	for _, o := range s.Observations {
		if id, ok := index.idByDigest[o.Target]; ok {
			r.Observations = append(r.Observations, costmodel.Observation{
				Target: id, Runs: int(o.Runs), SpeedSum: float64(o.SpeedSum) * speedUnit, Pace: float64(o.Pace) / 100, PaceAge: time.Duration(o.PaceAge) * paceAgeUnit,
			})
		}
	}
	r.Overloaded = resolveTargets(s.Overloaded, index.serviceByDigest)
	for _, u := range s.Usage {
		if service, ok := index.serviceByDigest[u.Service]; ok {
			r.Usage = append(r.Usage, fairshare.Usage{Service: service, Workspace: u.Workspace, Offered: float64(u.Offered) * slotUnit, Served: float64(u.Served) * slotUnit})
		}
	}
}

// mergeScheduling combines the scheduling parts of two reports of a gateway, of which undelivered was not
// forwarded: the observations of both count, and the newer usage if there is one.
func mergeScheduling(undelivered, next *scheduling) *scheduling {
	if undelivered == nil {
		return next
	}
	if next == nil {
		next = &scheduling{}
	}
	merged := &scheduling{Observations: mergeObservations(undelivered.Observations, next.Observations), Overloaded: next.Overloaded, Usage: next.Usage}
	if len(merged.Usage) == 0 {
		merged.Usage = undelivered.Usage
	}
	return merged
}

// mergeObservations adds the observations in next to those in undelivered. The result is bounded by the number of
// targets, unless a target has more runs than fit into one observation.
func mergeObservations(undelivered, next []targetObservation) []targetObservation {
	merged := slices.Clone(undelivered)
	for _, o := range next {
		i := slices.IndexFunc(merged, func(m targetObservation) bool {
			return m.Target == o.Target && int(m.Runs)+int(o.Runs) <= maxObservedRuns
		})
		if i < 0 {
			merged = append(merged, o)
			continue
		}
		m := &merged[i]
		m.Runs += o.Runs
		m.SpeedSum = int16(max(math.MinInt16, min(math.MaxInt16, int(m.SpeedSum)+int(o.SpeedSum))))
		if o.Pace > 0 {
			m.Pace, m.PaceAge = o.Pace, o.PaceAge
		}
	}
	return merged
}
