package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/admin"
	"github.com/google/subcommands"
)

type statusCmd struct {
	adminFlags
	config bool
}

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "compare what is confirmed with what is true" }
func (*statusCmd) Usage() string {
	return "status [-config]\n  Prints as JSON what is not as confirmed, or the whole configuration.\n"
}

func (c *statusCmd) SetFlags(f *flag.FlagSet) {
	c.adminFlags.SetFlags(f)
	f.BoolVar(&c.config, "config", false, "print the configuration that the entry holds")
}

func (c *statusCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.show(ctx))
}

func (c *statusCmd) show(ctx context.Context) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	if c.config {
		state, err := api.Config(ctx)
		if err != nil {
			return err
		}
		return printJSON(state)
	}
	status, err := api.Status(ctx)
	if err != nil {
		return err
	}
	return printJSON(status)
}

// watchWait is how long the entry holds one question of watch.
const watchWait = 30 * time.Second

type watchCmd struct {
	adminFlags
	count int
}

func (*watchCmd) Name() string     { return "watch" }
func (*watchCmd) Synopsis() string { return "print the status on each change" }
func (*watchCmd) Usage() string {
	return "watch [-count N]\n  Prints the status as one line of JSON now and on each change, until it is stopped.\n"
}

func (c *watchCmd) SetFlags(f *flag.FlagSet) {
	c.adminFlags.SetFlags(f)
	f.IntVar(&c.count, "count", 0, "end after so many lines; 0 goes on")
}

func (c *watchCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.watch(ctx)
	if ctx.Err() != nil {
		return subcommands.ExitSuccess // stopped by a signal
	}
	return exit(err)
}

func (c *watchCmd) watch(ctx context.Context) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	tag := ""
	for n := 0; c.count == 0 || n < c.count; {
		status, err := api.Watch(ctx, tag, watchWait)
		if err != nil {
			return err
		}
		if status.Tag == tag {
			continue
		}
		tag = status.Tag
		n++
		if err := printLine(status); err != nil {
			return err
		}
	}
	return nil
}

func printLine(status admin.Status) error {
	line, err := json.Marshal(status)
	if err != nil {
		return errs.New(errs.Internal, err.Error())
	}
	_, err = fmt.Fprintf(os.Stdout, "%s\n", line)
	return err
}
