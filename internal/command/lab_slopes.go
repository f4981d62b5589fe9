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
	"arbutusramp/internal/lab/capacity"
	"arbutusramp/internal/lab/slopes"
	"github.com/google/subcommands"
)

type slopesCmd struct {
	options  slopes.Options
	parts    string
	from     string
	size     string
	capacity bool
	json     bool
}

func (*slopesCmd) Name() string     { return "slopes" }
func (*slopesCmd) Synopsis() string { return "measure what one more unit of each kind of work costs" }
func (*slopesCmd) Usage() string {
	return "slopes [-quick] [-parts NAME,...] [-capacity [-size target|tuned|kelpie|tuulai] [-from FILE]] [-json]\n" +
		"  Measures what docs/CAPACITY.md is worked out from. Parts: " + strings.Join(slopes.Names(), ", ") + ".\n"
}

func (c *slopesCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.options.Quick, "quick", false, "fewer points, shorter windows, no repeats")
	f.StringVar(&c.parts, "parts", "", "parts to measure, with commas between; none is all")
	f.BoolVar(&c.capacity, "capacity", false, "print what each role costs, worked out from the slopes")
	f.StringVar(&c.size, "size", "target", "size for -capacity: target, tuned, kelpie or tuulai")
	f.StringVar(&c.from, "from", "", "take the slopes from a report in JSON in place of measuring")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *slopesCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := c.report(ctx)
	if err != nil {
		return fail(err)
	}
	switch {
	case c.capacity:
		return exit(c.printCapacity(&report))
	case c.json:
		return exit(json.NewEncoder(os.Stdout).Encode(report))
	}
	printSlopes(report)
	return subcommands.ExitSuccess
}

func (c *slopesCmd) report(ctx context.Context) (slopes.Report, error) {
	if c.from != "" {
		return readReport(c.from)
	}
	if c.parts != "" {
		c.options.Parts = strings.Split(c.parts, ",")
	}
	c.options.Progress = func(part string) { fmt.Fprintln(os.Stderr, "measuring", part) }
	return slopes.Run(ctx, c.options)
}

func readReport(path string) (slopes.Report, error) {
	var r slopes.Report
	body, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err != nil {
		return r, errs.Newf(errs.BadRequest, "report %s: %v", path, err)
	}
	return r, nil
}

// spreadSeed makes the table of subsets the same in every run.
const spreadSeed = 1

func (c *slopesCmd) printCapacity(r *slopes.Report) error {
	z, err := capacity.Named(c.size)
	if err != nil {
		return err
	}
	rows, err := capacity.Rows(r, z)
	if err != nil {
		return err
	}
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	if err := capacity.WriteMarkdown(os.Stdout, rows); err != nil {
		return err
	}
	if c.size != "target" {
		return nil
	}
	return printTarget(r, z)
}

// printTarget prints what stands beside the rows at the target size.
func printTarget(r *slopes.Report, z capacity.Size) error {
	if err := printBudgets(r); err != nil {
		return err
	}
	if err := capacity.WriteSpreads(os.Stdout, r, z, capacity.Spreads(z, spreadSeed, 20, 40, 60, 90, 120)); err != nil {
		return err
	}
	every := []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second}
	return capacity.WriteFreshness(os.Stdout, r, z, capacity.Freshen(z, spreadSeed, every...))
}

func printBudgets(r *slopes.Report) error {
	var names []string
	var columns [][]capacity.Row
	for _, z := range []capacity.Size{capacity.Target(), capacity.Tuned(), capacity.Kelpie(), capacity.Tuulai()} {
		rows, err := capacity.Rows(r, z)
		if err != nil {
			return err
		}
		names = append(names, z.Name)
		columns = append(columns, rows)
	}
	return capacity.WriteBudgets(os.Stdout, names, columns)
}

func printSlopes(r slopes.Report) {
	for _, s := range r.Slopes {
		fmt.Printf("%-34s %12.5g %-24s + %10.4g %-16s r2 %.3f  over %g..%g %s\n",
			s.Name, s.Slope, s.Unit, s.Intercept, s.Base, s.R2, s.From, s.To, s.Over)
	}
	fmt.Printf("%.0f s\n", r.Seconds)
}
