package dev

import (
	"context"
	"io"

	"github.com/hashicorp/go-hclog"
)

// RunOnce starts a cluster, runs Once and stops it. Errors: of any of the three.
func RunOnce(ctx context.Context, logger hclog.Logger, out io.Writer) error {
	c, err := Start(logger)
	if err != nil {
		return err
	}
	err = c.Configure(ctx)
	if err == nil {
		err = Once(ctx, c, out)
	}
	if stopErr := c.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// Serve starts a cluster, prints where it is and what to try, and runs until ctx is
// cancelled.
func Serve(ctx context.Context, logger hclog.Logger, out io.Writer) error {
	c, err := Start(logger)
	if err != nil {
		return err
	}
	err = c.Configure(ctx)
	if err == nil {
		printTour(out, c)
		<-ctx.Done()
	}
	if stopErr := c.Stop(); err == nil {
		err = stopErr
	}
	return err
}
