package keyedlog

import (
	"context"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// CutPages is a store whose pages of newest records come and fail in turn, the first one comes. It is not safe for concurrent use.
type CutPages struct {
	platform.Store
	// After are the keys after which the pages began that were asked for, those that failed among them.
	After []string
}

// Newest implements platform.Store. Error: errs.LogDown for every second call.
func (c *CutPages) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	c.After = append(c.After, after)
	if len(c.After)%2 == 0 {
		return platform.NewestPage{}, errs.New(errs.LogDown, "refused")
	}
	return c.Store.Newest(ctx, p, after)
}
