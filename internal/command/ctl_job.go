package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/client"
	"github.com/google/subcommands"
	"github.com/google/uuid"
)

func jobGroup() *groupCmd {
	return &groupCmd{"job", "submit, watch and cancel batch jobs", []subcommands.Command{
		&jobSubmitCmd{}, &jobStatusCmd{}, &jobResultsCmd{}, &jobCancelCmd{},
	}}
}

// callerFlags are those of all commands on jobs.
type callerFlags struct{ api apiFlags }

func (c *callerFlags) SetFlags(f *flag.FlagSet) { c.api.addCallers(f) }

func (c *callerFlags) client() (*client.Client, error) {
	url, key, err := c.api.target()
	if err != nil {
		return nil, err
	}
	return client.New(url, key), nil
}

type jobSubmitCmd struct {
	callerFlags
	key, model string
	dueIn      time.Duration
}

func (*jobSubmitCmd) Name() string     { return "submit" }
func (*jobSubmitCmd) Synopsis() string { return "submit a file of JSON Lines as a job" }
func (*jobSubmitCmd) Usage() string {
	return "submit [-idempotency-key KEY] [-model NAME] [-due-in DURATION] FILE\n" +
		"  Prints the job. Sent again with the same key it is the same job.\n"
}

func (c *jobSubmitCmd) SetFlags(f *flag.FlagSet) {
	c.callerFlags.SetFlags(f)
	f.StringVar(&c.key, "idempotency-key", "", "key of the job; a fresh one is made and printed if it is empty")
	f.StringVar(&c.model, "model", "", "model; empty for that of the first line")
	f.DurationVar(&c.dueIn, "due-in", 0, "when the job is due, from now; 0 is any time")
}

func (c *jobSubmitCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusctl job submit FILE")
	}
	return exit(c.submit(ctx, f.Arg(0)))
}

func (c *jobSubmitCmd) submit(ctx context.Context, path string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	file, err := os.Open(path)
	if err != nil {
		return errs.New(errs.BadRequest, err.Error())
	}
	defer file.Close()
	if c.key == "" {
		c.key = uuid.NewString()
		// Printed before the job is sent: if the answer is lost, the key is what
		// makes sending it again safe.
		fmt.Fprintln(os.Stderr, "idempotency key:", c.key)
	}
	spec := client.JobSpec{Key: c.key, Model: structs.ModelID(c.model), DueIn: c.dueIn}
	job, err := api.SubmitJob(ctx, spec, file)
	if err != nil {
		return err
	}
	return printJSON(job)
}

type jobStatusCmd struct {
	callerFlags
	wait time.Duration
}

func (*jobStatusCmd) Name() string     { return "status" }
func (*jobStatusCmd) Synopsis() string { return "show one job or all" }
func (*jobStatusCmd) Usage() string {
	return "status [-wait DURATION] [JOB]\n  Shows a job, or the workspace's jobs.\n"
}

func (c *jobStatusCmd) SetFlags(f *flag.FlagSet) {
	c.callerFlags.SetFlags(f)
	f.DurationVar(&c.wait, "wait", 0, "how long to wait for the job's end")
}

func (c *jobStatusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exit(c.show(ctx, structs.JobID(f.Arg(0))))
}

func (c *jobStatusCmd) show(ctx context.Context, id structs.JobID) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	if id == "" {
		list, err := api.Jobs(ctx)
		if err != nil {
			return err
		}
		return printJSON(list)
	}
	job, err := awaitEnd(ctx, api, id, c.wait)
	if err != nil {
		return err
	}
	return printJSON(job)
}

const jobPoll = 200 * time.Millisecond

// awaitEnd returns the job when it has ended or wait is over.
func awaitEnd(ctx context.Context, api *client.Client, id structs.JobID, wait time.Duration) (*client.Job, error) {
	end := time.Now().Add(wait)
	tick := time.NewTicker(jobPoll)
	defer tick.Stop()
	for {
		job, err := api.Job(ctx, id)
		if err != nil || job.Ended() || time.Now().After(end) {
			return job, err
		}
		select {
		case <-ctx.Done():
			return job, nil
		case <-tick.C:
		}
	}
}

type jobResultsCmd struct {
	callerFlags
	errorsOnly bool
}

func (*jobResultsCmd) Name() string     { return "results" }
func (*jobResultsCmd) Synopsis() string { return "print a job's results as JSON Lines" }
func (*jobResultsCmd) Usage() string {
	return "results [-errors] JOB\n  Prints results in item order.\n"
}

func (c *jobResultsCmd) SetFlags(f *flag.FlagSet) {
	c.callerFlags.SetFlags(f)
	f.BoolVar(&c.errorsOnly, "errors", false, "only those that are errors")
}

func (c *jobResultsCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusctl job results JOB")
	}
	api, err := c.client()
	if err != nil {
		return fail(err)
	}
	return exit(api.Results(ctx, structs.JobID(f.Arg(0)), c.errorsOnly, func(line []byte) error {
		_, err := fmt.Printf("%s\n", line)
		return err
	}))
}

type jobCancelCmd struct{ callerFlags }

func (*jobCancelCmd) Name() string     { return "cancel" }
func (*jobCancelCmd) Synopsis() string { return "cancel a job" }
func (*jobCancelCmd) Usage() string {
	return "cancel JOB\n  Returns when no item of the job starts any more.\n"
}

func (c *jobCancelCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusctl job cancel JOB")
	}
	api, err := c.client()
	if err != nil {
		return fail(err)
	}
	job, err := api.CancelJob(ctx, structs.JobID(f.Arg(0)))
	if err != nil {
		return fail(err)
	}
	return exit(printJSON(job))
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return errs.New(errs.Internal, err.Error())
	}
	return nil
}
