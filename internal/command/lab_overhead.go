package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"arbutusramp/internal/lab/overhead"
	"github.com/google/subcommands"
)

// overheadCmd measures processes that run already where -direct and -through name
// them, else an entry, a side and a service in its own process.
type overheadCmd struct {
	options overhead.Options
	json    bool
	profile string
}

func (*overheadCmd) Name() string     { return "overhead" }
func (*overheadCmd) Synopsis() string { return "measure what entry and side add to a call" }
func (*overheadCmd) Usage() string {
	return "overhead [-direct URL -through URL [-entry-status URL] [-side-status URL]] [-json]\n" +
		"  Measures added latency and calls a second a core, without URLs of an entry, a side and a service in this\n" +
		"  process. The workspace's key for running ones is in " + envWorkspaceKey + ".\n"
}

func (c *overheadCmd) SetFlags(f *flag.FlagSet) {
	c.options = overhead.DefaultOptions()
	o := &c.options
	f.StringVar(&o.Direct, "direct", "", "URL of the call at the target itself")
	f.StringVar(&o.Through, "through", "", "URL of the same call at an entry")
	f.StringVar(&o.EntryStatus, "entry-status", "", "base URL of the entry's status listener")
	f.StringVar(&o.SideStatus, "side-status", "", "base URL of the side's status listener")
	f.IntVar(&o.Pairs, "pairs", o.Pairs, "calls of each way for the latency")
	f.IntVar(&o.Connections, "connections", o.Connections, "connections of the load")
	f.DurationVar(&o.Duration, "duration", o.Duration, "duration of the load; 0 measures no rate")
	f.IntVar(&o.BodyBytes, "body", o.BodyBytes, "bytes of each call's body")
	f.StringVar(&c.profile, "cpu-profile", "", "file that gets a CPU profile of this process")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *overheadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stopProfile, err := startProfile(c.profile)
	if err != nil {
		return fail(err)
	}
	defer stopProfile()
	report, err := c.measure(ctx)
	if err != nil {
		return fail(err)
	}
	if c.json {
		return exit(json.NewEncoder(os.Stdout).Encode(report))
	}
	printOverhead(report)
	return subcommands.ExitSuccess
}

func (c *overheadCmd) measure(ctx context.Context) (*overhead.Report, error) {
	if c.options.Direct == "" && c.options.Through == "" {
		return overhead.RunEmbedded(ctx, c.options)
	}
	c.options.Key = os.Getenv(envWorkspaceKey)
	return overhead.Run(ctx, c.options)
}

func printOverhead(r *overhead.Report) {
	l := r.Latency
	fmt.Printf("latency of %d calls each way, one at a time, microseconds\n", l.Calls)
	fmt.Printf("  direct   p50 %8.0f  p99 %8.0f\n", l.Direct.P50, l.Direct.P99)
	fmt.Printf("  through  p50 %8.0f  p99 %8.0f\n", l.Through.P50, l.Through.P99)
	fmt.Printf("  added    p50 %8.0f  p99 %8.0f\n", l.Added.P50, l.Added.P99)
	if r.Rate == nil {
		return
	}
	t := r.Rate
	fmt.Printf("rate over %d connections for %.1f s\n", t.Connections, t.Seconds)
	fmt.Printf("  %.0f calls/s, p50 %.0f us, p99 %.0f us, %d refused and sent again\n",
		t.CallsPerS, t.Latency.P50, t.Latency.P99, t.Refused)
	fmt.Printf("  cores used: entry %.2f, side %.2f, load %.2f\n", t.EntryCores, t.SideCores, t.LoadCores)
	fmt.Printf("  %.0f calls/s per core of the entry\n", t.CallsPerEntryCore)
}
