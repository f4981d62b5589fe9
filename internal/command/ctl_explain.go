package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"arbutusramp/core/errs"
	"arbutusramp/internal/explain"
	"github.com/google/subcommands"
)

type explainCmd struct{}

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "tell the story of a request, job or item from logs" }
func (*explainCmd) Usage() string {
	return "explain ID FILE...\n  Prints the lines about ID in the processes' logs, with what they came to believe around them.\n"
}
func (*explainCmd) SetFlags(*flag.FlagSet) {}

func (c *explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return usage("arbutusctl explain ID FILE...")
	}
	return exit(explainID(f.Arg(0), f.Args()[1:]))
}

func explainID(id string, paths []string) error {
	var lines []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return errs.Newf(errs.NotFound, "log: %v", err)
		}
		read, err := explain.Read(path, file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := explain.Story(id, lines)
	if len(story) == 0 {
		return errs.New(errs.NotFound, fmt.Sprintf("no line about %q in %d lines", id, len(lines)))
	}
	return explain.Print(os.Stdout, story)
}
