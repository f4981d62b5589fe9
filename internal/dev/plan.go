package dev

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	newHeadroom   = 0.7
	firstPolicy   = "[policy]\nheadroom = 0.7\n"
	secondPolicy  = "[policy]\nheadroom = 0.2\n"
	inForceWithin = 4 * time.Second
	inForcePoll   = 5 * time.Millisecond
)

// planStep makes two plans from one version, one at each entry, and confirms both: the
// first must come into force at the other entry, the second must be refused.
func (o *once) planStep(ctx context.Context) error {
	first, err := o.cluster.admin(0).Plan(ctx, "dev", []byte(firstPolicy))
	if err != nil {
		return err
	}
	second, err := o.cluster.admin(1).Plan(ctx, "dev", []byte(secondPolicy))
	if err != nil {
		return err
	}
	start := time.Now()
	confirmed, err := o.cluster.admin(0).Confirm(ctx, first)
	if err != nil {
		return err
	}
	if err := o.awaitVersion(ctx, confirmed.Version); err != nil {
		return err
	}
	inForce := time.Since(start)
	if _, err := o.cluster.admin(1).Confirm(ctx, second); !errs.Is(err, errs.StalePlan) {
		return errs.Newf(errs.Internal, "a plan that came second was answered %v, want %s", err, errs.StalePlan)
	}
	o.say("plan: %d step(s) from version %d, confirmed as version %d, in force at the other entry after %s",
		len(first.Steps), first.Base, confirmed.Version, inForce.Round(time.Millisecond))
	o.say("plan: the one that came second was refused with %s", errs.StalePlan)
	return nil
}

// awaitVersion waits until the second entry has the new policy.
func (o *once) awaitVersion(ctx context.Context, v structs.Version) error {
	var last error
	err := poll(ctx, inForceWithin, inForcePoll, func() bool {
		state, err := o.cluster.admin(1).Config(ctx)
		last = err
		return err == nil && state.Version >= v && state.Policy.Headroom == newHeadroom
	})
	if last != nil {
		return last
	}
	return err
}
