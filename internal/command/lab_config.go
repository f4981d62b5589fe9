package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"arbutusramp/internal/lab/config"
	"github.com/google/subcommands"
)

// configCmd measures how changes of configuration spread.
type configCmd struct {
	options config.Options
	json    bool
	profile string
}

func (*configCmd) Name() string     { return "config" }
func (*configCmd) Synopsis() string { return "measure how a change of configuration spreads" }
func (*configCmd) Usage() string {
	return "config [-followers N] [-changes R] [-seed S] [-json]\n" +
		"  Confirms R changes a second and measures the time until each is in force in N followers on loopback, and\n" +
		"  the bytes and processor time that this costs. Exits with 1 when an invariant is violated.\n"
}

func (c *configCmd) SetFlags(f *flag.FlagSet) {
	c.options = config.DefaultOptions()
	o := &c.options
	f.IntVar(&o.Followers, "followers", o.Followers, "processes that follow the configuration")
	f.Float64Var(&o.Changes, "changes", o.Changes, "confirms a second")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the changes")
	f.DurationVar(&o.Duration, "duration", o.Duration, "duration of the changes")
	f.DurationVar(&o.Idle, "idle", o.Idle, "time measured before them without changes")
	f.IntVar(&o.Domains, "domains", 0, "failure domains; 0 is one for each 31 followers")
	f.IntVar(&o.Workspaces, "workspaces", o.Workspaces, "workspaces in the configuration")
	f.IntVar(&o.Restarts, "restarts", 0, "followers replaced during the run; 0 is 5 in 100, -1 none")
	f.DurationVar(&o.LogOutage, "outage", 0, "outage of the log in the middle of the run")
	f.StringVar(&c.profile, "cpu-profile", "", "file that gets a CPU profile of this process")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *configCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stopProfile, err := startProfile(c.profile)
	if err != nil {
		return fail(err)
	}
	defer stopProfile()
	report, err := config.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	if c.json {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fail(err)
		}
	} else {
		printConfig(report)
	}
	if report.Violations+report.VersionRegressions > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printConfig(r config.Report) {
	fmt.Printf("%d followers in %d failure domains, %d workspaces, %.2f changes/s, %d confirmed, %d refused\n",
		r.Followers, r.Domains, r.Workspaces, r.ChangesPerS, r.Confirmed, r.Refused)
	fmt.Printf("  in force everywhere after  p50 %.1f ms  p99 %.1f ms  max %.1f ms\n", r.InForceP50, r.InForceP99, r.InForceMax)
	fmt.Printf("  operator answered after    p99 %.1f ms\n", r.ConfirmP99)
	fmt.Printf("  bytes/s a node  idle %.0f, in this run %.0f (worst %.0f), at the target's rate %.0f (worst %.0f)\n",
		r.BytesIdle, r.BytesPerNode, r.BytesWorst, r.BytesAtTarget, r.BytesWorstAtTarget)
	fmt.Printf("  share of a core a node  idle %.4f, in this run %.4f, at the target's rate %.4f\n",
		r.CPUShareIdle, r.CPUShare, r.CPUShareAtTarget)
	fmt.Printf("  %d processes replaced, %d versions went back, %d violations\n", r.Restarts, r.VersionRegressions, r.Violations)
	for _, d := range r.Details {
		fmt.Println("  " + d)
	}
}
