package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/faults"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/settings"
	"github.com/google/subcommands"
)

// faultsCmd runs a whole system in this process under random faults.
type faultsCmd struct {
	options  faults.Options
	seconds  float64
	logLevel string
	json     bool
}

func (*faultsCmd) Name() string     { return "faults" }
func (*faultsCmd) Synopsis() string { return "run a system under random faults and check its promises" }
func (*faultsCmd) Usage() string {
	return "faults [-seed N] [-seconds N] [-break GUARD] [-json]\n" +
		"  Runs entries, sides and stand-ins in this process over loopback sockets, with jobs and online requests\n" +
		"  under the faults that the seed draws. Ends with status 1 when a promise was broken.\n"
}

func (c *faultsCmd) SetFlags(f *flag.FlagSet) {
	c.options = faults.DefaultOptions()
	o := &c.options
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of faults and load")
	f.Float64Var(&c.seconds, "seconds", o.Span.Seconds(), "how long faults come")
	f.StringVar(&o.Break, "break", "", "switch one guard off: "+strings.Join(faults.Breaks, ", "))
	f.DurationVar(&o.Promise, "promise", o.Promise, "how long results stay readable")
	f.DurationVar(&o.Retention, "retention", o.Retention, "how long the log service keeps records")
	f.DurationVar(&o.Settle, "settle", o.Settle, "time in which all must come to its end after the last fault")
	f.StringVar(&c.logLevel, "log-level", "", "log of all processes to stderr from this level on; empty logs nothing")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *faultsCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Span = time.Duration(c.seconds * float64(time.Second))
	c.options.Progress = os.Stderr
	if c.logLevel != "" {
		c.options.Logger = logging.New("faults", settings.Logs{Level: c.logLevel}, os.Stderr)
	}
	report, err := faults.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	if err := c.print(report); err != nil {
		return fail(err)
	}
	if report.Violations > 0 {
		return fail(errs.Newf(errs.Internal, "%d violations", report.Violations))
	}
	return subcommands.ExitSuccess
}

func (c *faultsCmd) print(r *faults.Report) error {
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d, %.0f s of faults: %d jobs, %d items accepted, %d completed, %d cancelled\n",
		r.Seed, r.SpanS, r.Jobs, r.Accepted, r.Completed, r.Cancelled)
	fmt.Printf("duplicated %d, lost %d, ran after cancel %d, non-idempotent twice %d, stale acts %d\n",
		r.Duplicated, r.Lost, r.RanAfterCancel, r.NonIdempotentTwice, r.StaleActs)
	fmt.Printf("takeover p99 %d ms of %d, %.0f appends/s, settled in %.1f s, violations %d\n",
		r.TakeoverMsP99, r.Takeovers, r.AppendsPerS, r.SettleS, r.Violations)
	for _, d := range r.Details {
		fmt.Println("  " + d)
	}
	return nil
}
