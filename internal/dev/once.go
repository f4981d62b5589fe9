package dev

import (
	"context"
	"fmt"
	"io"

	"arbutusramp/internal/client"
	"github.com/pkg/errors"
)

// once is one run through everything that the system does.
type once struct {
	cluster *Cluster
	out     io.Writer
	callers []*client.Client
}

// step is one part of the run; it fails unless all that it checks holds.
type step struct {
	name string
	run  func(context.Context) error
}

// Once runs a streamed request, a service call, a job, a plan and its confirm on c,
// and says on out what happened. The error is the first thing that was wrong.
func Once(ctx context.Context, c *Cluster, out io.Writer) error {
	o := &once{cluster: c, out: out}
	for _, e := range c.Entries {
		o.callers = append(o.callers, client.New("http://"+e.CallerAddr(), WorkspaceKey))
	}
	steps := []step{
		{"streamed request", o.onlineStep},
		{"job", o.jobStep},
		{"plan", o.planStep},
		{"service call", o.serviceStep},
	}
	return runSteps(ctx, out, steps)
}

// runSteps runs one step after the other up to the first that fails.
func runSteps(ctx context.Context, out io.Writer, steps []step) error {
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	fmt.Fprintln(out, "everything as it should be")
	return nil
}

func (o *once) caller(i int) *client.Client { return o.callers[i] }

func (o *once) say(format string, args ...any) {
	fmt.Fprintf(o.out, format+"\n", args...)
}
