package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	adminclient "arbutusramp/internal/admin/client"
	"github.com/google/subcommands"
)

// adminFlags are those of all commands for operators.
type adminFlags struct{ api apiFlags }

func (a *adminFlags) SetFlags(f *flag.FlagSet) { a.api.addAdmin(f) }

func (a *adminFlags) client() (*adminclient.Client, error) {
	url, key, err := a.api.target()
	if err != nil {
		return nil, err
	}
	return adminclient.New(url, key), nil
}

type planCmd struct {
	adminFlags
	out string
}

func (*planCmd) Name() string     { return "plan" }
func (*planCmd) Synopsis() string { return "show what a document of intents would do" }
func (*planCmd) Usage() string {
	return "plan [-out PLAN] FILE\n  Prints the plan of the intents in FILE and writes it to PLAN for confirm. Nothing is changed.\n"
}

func (c *planCmd) SetFlags(f *flag.FlagSet) {
	c.adminFlags.SetFlags(f)
	f.StringVar(&c.out, "out", "", "file for the plan; FILE.plan if empty")
}

func (c *planCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusctl plan [-out PLAN] FILE")
	}
	return exit(c.plan(ctx, f.Arg(0)))
}

func (c *planCmd) plan(ctx context.Context, file string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	doc, err := os.ReadFile(file)
	if err != nil {
		return errs.New(errs.BadRequest, err.Error())
	}
	p, err := api.Plan(ctx, file, doc)
	if err != nil {
		return err
	}
	out := c.out
	if out == "" {
		out = file + ".plan"
	}
	if err := writePlan(out, p); err != nil {
		return err
	}
	fmt.Print(p.Text())
	fmt.Printf("to do it: arbutusctl confirm %s\n", out)
	return nil
}

func writePlan(path string, p *plan.Plan) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return errs.New(errs.Internal, err.Error())
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return errs.New(errs.BadRequest, err.Error())
	}
	return nil
}

type confirmCmd struct{ adminFlags }

func (*confirmCmd) Name() string     { return "confirm" }
func (*confirmCmd) Synopsis() string { return "put a plan into force" }
func (*confirmCmd) Usage() string {
	return "confirm PLAN\n  Puts a plan into force if nothing that conflicts was confirmed since. Sent twice it counts once.\n"
}

func (c *confirmCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusctl confirm PLAN")
	}
	return exit(c.confirm(ctx, f.Arg(0)))
}

func (c *confirmCmd) confirm(ctx context.Context, path string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	p, err := readPlan(path)
	if err != nil {
		return err
	}
	done, err := api.Confirm(ctx, p)
	if err != nil {
		return err
	}
	fmt.Printf("in force from version %d on, confirmed by %s\n", done.Version, done.Operator)
	return nil
}

func readPlan(path string) (*plan.Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.New(errs.BadRequest, err.Error())
	}
	var p plan.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errs.Newf(errs.BadRequest, "%s is not a plan: %v", path, err)
	}
	return &p, nil
}
