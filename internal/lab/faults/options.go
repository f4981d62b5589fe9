package faults

import (
	"io"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"github.com/hashicorp/go-hclog"
)

// Options of a run.
type Options struct {
	Seed uint64
	// Span is how long faults come. Before it each run brings about a second copy of an append
	// and an append under an old epoch, so that no seed passes without them.
	Span time.Duration
	// Break switches one guard off; empty keeps all.
	Break string
	// Promise is how long results stay readable, Retention how long the log keeps records.
	Promise, Retention time.Duration
	// Settle is the time in which everything must come to its end after the last fault.
	Settle time.Duration
	// Progress gets a line now and then; nil gets none.
	Progress io.Writer
	Logger   hclog.Logger // nil logs nothing
}

// Values of Options.Break.
const (
	BreakEpochs     = "ignore-epochs"
	BreakIdentities = "ignore-identities"
)

// Breaks are the guards that can be switched off.
var Breaks = []string{BreakEpochs, BreakIdentities}

// DefaultOptions returns the shape of the runs that docs/FAULTS.md gives.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Span: 30 * time.Second,
		Promise: 10 * time.Minute, Retention: time.Minute, Settle: 90 * time.Second,
	}
}

// broken returns the switches of o.Break. Error: errs.BadRequest.
func (o *Options) broken() (jobs.Broken, error) {
	switch o.Break {
	case "":
		return jobs.Broken{}, nil
	case BreakEpochs:
		return jobs.Broken{IgnoreEpochs: true}, nil
	case BreakIdentities:
		return jobs.Broken{IgnoreIdentities: true}, nil
	}
	return jobs.Broken{}, errs.Newf(errs.BadRequest, "no guard is called %q", o.Break)
}
