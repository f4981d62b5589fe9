package choose

const (
	// loadCostUs is the cost of a fully used target against an idle one.
	loadCostUs = 20_000
	// domainCostUs is the cost of another failure domain: about one round
	// trip between domains. A tenth of loadCostUs, so that the own domain is
	// preferred only while its load is comparable.
	domainCostUs = 2_000
	// blockCostUs is the prefill time saved by one cached prefix block (64 tokens).
	blockCostUs = 1_500
	// homeBlockCostUs is the same at the home of a prefix, where it is cached as a rule.
	homeBlockCostUs = 3_000
	// affinityBound is c of consistent hashing with bounded loads: a target loaded
	// over c times the mean gets no credit for its cache.
	affinityBound = 1.25
	// affinitySlack is the utilisation below which the bound does not bind.
	affinitySlack = 0.25
)

// FreshLoad costs a target's use, including what was sent since its report.
type FreshLoad struct{}

// Cost implements Scorer.
func (FreshLoad) Cost(_ *Request, c *Candidate, _ *View) float64 {
	return loadCostUs * c.Utilisation()
}

// ReportedLoad costs a target's use by its last report alone.
type ReportedLoad struct{}

// Cost implements Scorer.
func (ReportedLoad) Cost(_ *Request, c *Candidate, _ *View) float64 {
	return loadCostUs * float64(c.InFlight+c.Queued) / float64(max(1, c.Limit))
}

// FirstToken costs the expected time to the first token.
type FirstToken struct{}

// Cost implements Scorer.
func (FirstToken) Cost(_ *Request, c *Candidate, _ *View) float64 {
	return float64(c.Estimate().Microseconds())
}

// PrefixAffinity credits the prefill that a cached prefix saves, while the
// target's load is within the bound.
type PrefixAffinity struct{}

// Cost implements Scorer.
func (PrefixAffinity) Cost(_ *Request, c *Candidate, v *View) float64 {
	bound := max(affinitySlack, affinityBound*v.MeanUtilisation)
	if c.Utilisation() > bound {
		return 0
	}
	return -blockCostUs * float64(c.Matched)
}

// PrefixHome credits the home of the request's prefix with the prefill that is saved there.
type PrefixHome struct{}

// Cost implements Scorer.
func (PrefixHome) Cost(r *Request, c *Candidate, v *View) float64 {
	if v.Home < 0 || c != &v.Candidates[v.Home] {
		return 0
	}
	return -homeBlockCostUs * float64(len(r.Prefixes))
}

// SameDomain costs leaving the entry's failure domain.
type SameDomain struct{}

// Cost implements Scorer.
func (SameDomain) Cost(r *Request, c *Candidate, _ *View) float64 {
	if c.Domain == r.Domain {
		return 0
	}
	return domainCostUs
}
