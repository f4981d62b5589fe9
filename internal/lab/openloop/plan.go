// Package openloop sends planned model requests to a cluster. Arrivals do not wait for
// answers, and latency counts from the planned arrival, so that a slow system can't slow
// its own load down.
package openloop

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"arbutusramp/standin/engine"
)

// Load is what arrives.
type Load struct {
	PerS         float64 // requests a second, Poisson
	For          time.Duration
	Tokens       int     // of each answer
	Documents    int     // different beginnings of prompts
	PrefixTokens int     // length of a beginning
	TailTokens   int     // length of what is each prompt's own
	Skew         float64 // of the choice of documents (Zipf), above 1
	Timeout      time.Duration
	Seed         uint64
}

// Request is one planned request.
type Request struct {
	ID     string
	At     time.Duration // after the start
	Entry  int
	Prompt string
}

// Plan draws the requests of load over that many entries. The same load gives the same plan.
func Plan(l Load, entries int) []Request {
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed+1))
	zipf := rand.NewZipf(rng, l.Skew, 1, uint64(l.Documents-1))
	var plan []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / l.PerS * float64(time.Second))
		if at >= l.For {
			return plan
		}
		i := len(plan)
		plan = append(plan, Request{
			ID:     fmt.Sprintf("q-%d", i),
			At:     at,
			Entry:  rng.IntN(entries),
			Prompt: prompt(l, int(zipf.Uint64()), i),
		})
	}
}

// prompt is a document's text followed by what is the request's own.
func prompt(l Load, document, i int) string {
	return filler(fmt.Sprintf("document %d ", document), l.PrefixTokens) + filler(fmt.Sprintf("request %d ", i), l.TailTokens)
}

func filler(text string, tokens int) string {
	n := tokens * engine.BytesPerToken
	return strings.Repeat(text, n/len(text)+1)[:n]
}
