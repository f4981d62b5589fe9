package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"

	"github.com/google/subcommands"

	"arbutusramp/core/policy"
	"arbutusramp/internal/lab/fleet"
)

type ablateCmd struct {
	seeds int
	drawn int
	seed  uint64
	json  bool
}

func (*ablateCmd) Name() string { return "ablate" }
func (*ablateCmd) Synopsis() string {
	return "switch off each mechanism of deciding on simulated fleets"
}
func (*ablateCmd) Usage() string {
	return "ablate [flags]\n  Plays very different fleets in virtual time, with all mechanisms on and with each of them off. docs/POLICIES.md explains it.\n"
}

func (c *ablateCmd) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seeds, "seeds", 4, "seeds for each row")
	f.IntVar(&c.drawn, "drawn", 0, "number of drawn fleets in place of the chosen ones")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the drawn fleets")
	f.BoolVar(&c.json, "json", false, "print the rows as one JSON array")
}

func (c *ablateCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.seeds < 1 || c.drawn < 0 {
		return usage("arbutusctl lab ablate: -seeds must be 1 at least, -drawn 0")
	}
	shapes := fleet.Shapes()
	if c.drawn > 0 {
		shapes = fleet.DrawShapes(c.seed, c.drawn)
	}
	rows, err := fleet.Ablate(shapes, fleet.Simulated(), c.seeds, runtime.GOMAXPROCS(0)/2+1, func(shape string, off policy.Mechanism) {
		fmt.Fprintf(os.Stderr, "%s, off: %s\n", shape, off)
	})
	if err != nil {
		return fail(err)
	}
	if c.json {
		return exit(json.NewEncoder(os.Stdout).Encode(rows))
	}
	return exit(fleet.PrintAblation(os.Stdout, rows))
}
