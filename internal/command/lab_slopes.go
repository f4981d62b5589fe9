package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"arbutusramp/internal/lab/slopes"
	"github.com/google/subcommands"
)

type slopesCmd struct {
	options slopes.Options
	parts   string
	json    bool
}

func (*slopesCmd) Name() string     { return "slopes" }
func (*slopesCmd) Synopsis() string { return "measure what one more unit of each kind of work costs" }
func (*slopesCmd) Usage() string {
	return "slopes [-quick] [-parts NAME,...] [-json]\n" +
		"  Measures what docs/CAPACITY.md is worked out from. Parts: " + strings.Join(slopes.Names(), ", ") + ".\n"
}

func (c *slopesCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.options.Quick, "quick", false, "fewer points, shorter windows, no repeats")
	f.StringVar(&c.parts, "parts", "", "parts to measure, with commas between; none is all")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *slopesCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.parts != "" {
		c.options.Parts = strings.Split(c.parts, ",")
	}
	c.options.Progress = func(part string) { fmt.Fprintln(os.Stderr, "measuring", part) }
	report, err := slopes.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	if c.json {
		return exit(json.NewEncoder(os.Stdout).Encode(report))
	}
	printSlopes(report)
	return subcommands.ExitSuccess
}

func printSlopes(r slopes.Report) {
	for _, s := range r.Slopes {
		fmt.Printf("%-34s %12.5g %-24s + %10.4g %-16s r2 %.3f  over %g..%g %s\n",
			s.Name, s.Slope, s.Unit, s.Intercept, s.Base, s.R2, s.From, s.To, s.Over)
	}
	fmt.Printf("%.0f s\n", r.Seconds)
}
