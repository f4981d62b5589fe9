package dev

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// once is one run through everything that the system does.
type once struct {
	cluster *Cluster
	out     io.Writer
	callers []*caller
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
		o.callers = append(o.callers, newCaller(e.CallerAddr(), WorkspaceKey))
	}
	steps := []step{
		{"streamed request", o.onlineStep},
		{"service call", o.serviceStep},
	}
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	o.say("everything as it should be")
	return nil
}

func (o *once) caller(i int) *caller { return o.callers[i] }

func (o *once) say(format string, args ...any) {
	fmt.Fprintf(o.out, format+"\n", args...)
}
