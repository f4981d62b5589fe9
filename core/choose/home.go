package choose

import "github.com/cespare/xxhash/v2"

const (
	// homeBlocks is how many blocks of a prompt decide its home: prompts that share that much
	// share a home, and prompts that only share a common greeting don't.
	homeBlocks = 8
	// homeBound and homeSlack are the bounded load of consistent hashing: a target with more
	// than homeBound times the mean of outstanding requests, and homeSlack more, is no home.
	homeBound = 1.25
	homeSlack = 2
)

// home returns the candidate that a prompt's beginning belongs to, by rendezvous hashing among
// those whose load is within the bound, or -1. Entries agree on it without a word. What
// targets were given lately does not tell where a prefix is cached: their
// memory is smaller than what they were given, and in time each was given everything.
func home(r *Request, v *View, kept []Scored) int {
	if len(r.Prefixes) == 0 {
		return -1
	}
	key := r.Prefixes[min(homeBlocks, len(r.Prefixes))-1]
	best, bestRank := -1, uint64(0)
	for _, k := range kept {
		c := &v.Candidates[k.Index]
		if float64(c.Outstanding()) > homeBound*v.MeanOutstanding+homeSlack {
			continue
		}
		if rank := rendezvous(key, c); best < 0 || rank > bestRank {
			best, bestRank = k.Index, rank
		}
	}
	return best
}

func rendezvous(key uint64, c *Candidate) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(string(c.Target)) // never fails
	return d.Sum64()
}
