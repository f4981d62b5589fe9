package choose

import (
	"fmt"
	"io"
)

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "shape %s, seed %d, %.0f requests/s for %d s each, one of %d engines %.0f times slower\n",
		r.Shape, r.Seed, r.PerS, r.Seconds, engines, r.Slow)
	fmt.Fprintf(w, "%-12s %9s %9s %8s %8s %7s %7s %7s %7s %s\n",
		"policy", "p50 ms", "p99 ms", "p50/rnd", "p99/rnd", "cache", "cross", "slow", "errors", "violations")
	for _, p := range r.Policies {
		failed := 0
		for _, n := range p.Errors {
			failed += n
		}
		fmt.Fprintf(w, "%-12s %9.1f %9.1f %8.2f %8.2f %7.3f %7.3f %7.3f %7d %d\n",
			p.Policy, p.P50Ms, p.P99Ms, p.P50Ratio, p.P99Ratio, p.CacheHits, p.CrossDomain, p.SlowShare, failed, p.Violations)
	}
}
