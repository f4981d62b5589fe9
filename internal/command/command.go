// Package command holds the subcommands of both binaries, one file each. They read
// arguments and settings, wire the parts and print; what is decided is decided elsewhere.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Ramp runs arbutusramp with the process's arguments and returns its exit status.
func Ramp() int {
	return run("arbutusramp", &entryCmd{}, &sideCmd{}, &gatewayCmd{}, &checkCmd{}, &devCmd{})
}

// Ctl runs arbutusctl with the process's arguments and returns its exit status.
func Ctl() int {
	return run("arbutusctl",
		&planCmd{}, &confirmCmd{}, &statusCmd{}, &watchCmd{}, &explainCmd{}, &loadCmd{}, jobGroup(), labGroup())
}

func run(name string, cmds ...subcommands.Command) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	cdr := subcommands.NewCommander(flags, name)
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(cdr.FlagsCommand(), "")
	for _, c := range cmds {
		cdr.Register(c, "")
	}
	if err := flags.Parse(os.Args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := withSignals(context.Background())
	defer stop()
	return int(cdr.Execute(ctx))
}

// usage prints what is missing from the arguments.
func usage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "usage: "+text)
	return subcommands.ExitUsageError
}

// report is the outcome of an experiment.
type report interface{ Print(io.Writer) }

// printReport prints r for people, or as one JSON object.
func printReport(r report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	r.Print(os.Stdout)
	return nil
}

// labGroup holds the measurements and experiments.
func labGroup() *groupCmd {
	return &groupCmd{"lab", "measure and experiment", []subcommands.Command{
		&overheadCmd{},
		&mixCmd{},
		&chooseCmd{},
		&fleetCmd{},
		&originsCmd{},
		&partsCmd{},
		&crashesCmd{},
		&ablateCmd{},
		&onlineCmd{},
		&configCmd{},
		&faultsCmd{},
	}}
}
