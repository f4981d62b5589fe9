package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/explain"
	"github.com/google/subcommands"
)

type explainCmd struct {
	summary bool
	slots   time.Duration
}

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "tell the story of a request, job or item from logs" }
func (*explainCmd) Usage() string {
	return "explain ID FILE...\n  Prints the lines about ID in the processes' logs, with what they came to believe around them,\n  then where its stream began, where it went on or why not,\n  the decisions on it: targets, predicted waits and times, shares,\n  and each send with its connection, answer and evidence, and whether it may have run more than once.\n" +
		"explain -summary FILE...\n  Counts what became of all requests, jobs and items of the logs.\n" +
		"explain -slots 5s FILE...\n  Tells where the slot-seconds of targets with batch work went, in windows of that length.\n"
}
func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.summary, "summary", false, "count what became of all requests, jobs and items")
	f.DurationVar(&c.slots, "slots", 0, "tell where slot-seconds went, in windows of this length")
}

func (c *explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case c.summary && c.slots != 0:
		return usage("arbutusctl explain: -summary and -slots exclude each other")
	case c.slots != 0 && c.slots < leastWindow:
		return usage(fmt.Sprintf("arbutusctl explain: -slots is %v, at least %v are wanted", c.slots, leastWindow))
	case c.summary && f.NArg() > 0:
		return exit(explainAll(f.Args()))
	case c.slots != 0 && f.NArg() > 0:
		return exit(explainSlots(f.Args(), c.slots))
	case c.summary || c.slots != 0 || f.NArg() < 2:
		return usage("arbutusctl explain ID FILE..., explain -summary FILE... or explain -slots 5s FILE...")
	}
	return exit(explainID(f.Arg(0), f.Args()[1:]))
}

func explainAll(paths []string) error {
	lines, err := readLogs(paths)
	if err != nil {
		return err
	}
	return explain.Summarize(lines).PrintSummary(os.Stdout)
}

// leastWindow is the shortest window of an account of slots: runs last seconds.
const leastWindow = 100 * time.Millisecond

func explainSlots(paths []string, window time.Duration) error {
	lines, err := readLogs(paths)
	if err != nil {
		return err
	}
	account, err := explain.AccountSlots(lines, window)
	if err != nil {
		return err
	}
	return account.Print(os.Stdout)
}

func explainID(id string, paths []string) error {
	lines, err := readLogs(paths)
	if err != nil {
		return err
	}
	story := explain.Story(id, lines)
	if len(story) == 0 {
		return errs.New(errs.NotFound, fmt.Sprintf("no line about %q in %d lines", id, len(lines)))
	}
	if err := explain.Print(os.Stdout, story); err != nil {
		return err
	}
	if err := explain.PrintStream(os.Stdout, explain.StreamSteps(id, lines)); err != nil {
		return err
	}
	if err := explain.PrintDecisions(os.Stdout, explain.Decisions(id, lines)); err != nil {
		return err
	}
	return explain.PrintSends(os.Stdout, explain.Sends(id, lines))
}

// readLogs reads the lines of all files. Errors: errs.NotFound, those of reading.
func readLogs(paths []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errs.Newf(errs.NotFound, "log: %v", err)
		}
		read, err := explain.Read(path, file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}
