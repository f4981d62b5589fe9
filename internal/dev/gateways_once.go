package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	gatewayJob      = "dev-job"
	gatewayJobItems = 30
	itemTokenCount  = 10
	resultWait      = 500 * time.Millisecond
)

// gatewaysOnce is one run through what gateways do.
type gatewaysOnce struct {
	*Gateways
	out io.Writer
}

// RunGatewaysOnce starts gateways, runs a stream, a call, a job and two losses of the store, of one gateway and of all, says on out what happened,
// and stops them. The error is the first thing that was wrong.
func RunGatewaysOnce(ctx context.Context, logger hclog.Logger, out io.Writer) error {
	g, err := StartGateways(ctx, logger)
	if err != nil {
		return err
	}
	o := &gatewaysOnce{g, out}
	err = runSteps(ctx, out, []step{{"stream", o.streamStep}, {"call", o.callStep}, {"job", o.jobStep}, {"detour", o.detourStep}, {"outage", o.outageStep}})
	if stopErr := g.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (g *Gateways) addr(i int) string { return g.Nodes[i].CallerAddr() }

func (o *gatewaysOnce) streamStep(context.Context) error {
	const id = "dev-stream"
	start := time.Now()
	status, text := o.caller.Send(o.addr(0), http.MethodPost, "/stream/x", id, "")
	if status != http.StatusOK || text != wiretest.StreamBody(id, targetEvents) {
		return errs.Newf(errs.StreamBroken, "status %d, %d bytes", status, len(text))
	}
	fmt.Fprintf(o.out, "stream: %d events in %s, whole and in order\n", targetEvents, time.Since(start).Round(time.Millisecond))
	return nil
}

func (o *gatewaysOnce) callStep(context.Context) error {
	const id, body = "dev-call", "slot 14:30"
	status, text := o.caller.Send(o.addr(1), http.MethodPost, "/call/x", id, body)
	if status != http.StatusOK || text != wiretest.CallAnswer(id, body) {
		return errs.Newf(errs.Internal, "status %d, answer %q", status, text)
	}
	fmt.Fprintf(o.out, "call: %s\n", text)
	return nil
}

// jobStep hands a job in twice, at both gateways, reads it at the second one and ends it.
func (o *gatewaysOnce) jobStep(ctx context.Context) error {
	start := time.Now()
	for i := range o.Nodes {
		if err := o.submit(i, gatewayJob); err != nil {
			return err
		}
	}
	accepted := time.Since(start)
	if err := o.readJob(ctx, 1, gatewayJob); err != nil {
		return err
	}
	if status, text := o.caller.CancelJob(o.addr(1), gatewayJob); status != http.StatusOK {
		return errs.Newf(errs.Internal, "the end was answered %d: %s", status, text)
	}
	fmt.Fprintf(o.out, "job: %d items, handed in at both gateways in %s, accepted once, read at the other one after %s\n",
		gatewayJobItems, accepted.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return nil
}

func (g *Gateways) submit(i int, job string) error {
	var items []wiretest.Item
	for n := range gatewayJobItems {
		items = append(items, wiretest.Item{ID: numbered(job, n), Path: "/batch/x", Tokens: itemTokenCount})
	}
	if status, text := g.caller.Submit(g.addr(i), job, items); status != http.StatusAccepted {
		return errs.Newf(errs.Internal, "the job was answered %d: %s", status, text)
	}
	return nil
}

// readJob reads a job to its end and checks that every item is there once, with its whole text.
func (g *Gateways) readJob(ctx context.Context, i int, job string) error {
	seen := make(map[string]bool)
	return poll(ctx, jobTimeout, jobPoll, func() bool {
		_, page := g.caller.Results(g.addr(i), job, len(seen), resultWait)
		for _, r := range page.Results {
			if r.Text == wiretest.ItemText(r.ID, targetEvents) {
				seen[r.ID] = true
			}
		}
		return len(seen) == gatewayJobItems
	})
}

// detourStep takes the store away from one gateway: it reaches the store through the other one, and a job
// that it is handed is accepted, run and read.
func (o *gatewaysOnce) detourStep(ctx context.Context) error {
	const job = "dev-detour-job"
	o.views[0].Set(keyedlog.Faults{Refuse: true})
	defer o.views[0].Set(keyedlog.Faults{})
	if err := o.submit(0, job); err != nil {
		return err
	}
	if err := o.readJob(ctx, 0, job); err != nil {
		return err
	}
	fmt.Fprintln(o.out, "detour: a job handed in at the gateway that the store turns away, accepted and read there through the other one")
	return nil
}

// outageStep takes the store away from all gateways: they can't keep what they would promise, so they refuse jobs,
// with the word that those do not run; streams go on.
func (o *gatewaysOnce) outageStep(ctx context.Context) error {
	const id, job = "dev-outage", "dev-outage-job"
	o.setFaults(keyedlog.Faults{Refuse: true})
	status, _ := o.caller.Submit(o.addr(0), job, []wiretest.Item{{ID: "refused", Path: "/batch/x", Tokens: itemTokenCount}})
	if status != http.StatusServiceUnavailable {
		return errs.Newf(errs.Internal, "without the store a job was answered %d, want %d", status, http.StatusServiceUnavailable)
	}
	if status, text := o.caller.Send(o.addr(0), http.MethodPost, "/stream/x", id, ""); status != http.StatusOK || text != wiretest.StreamBody(id, targetEvents) {
		return errs.Newf(errs.StreamBroken, "without the store a stream got status %d, %d bytes", status, len(text))
	}
	o.setFaults(keyedlog.Faults{})
	if err := poll(ctx, readyTimeout, readyPoll, func() bool { return o.submit(0, job) == nil }); err != nil {
		return err
	}
	if err := o.readJob(ctx, 1, job); err != nil {
		return err
	}
	fmt.Fprintln(o.out, "outage of the store: a job refused, a stream served; afterwards the job accepted and done")
	return nil
}

// setFaults gives every gateway the same faults of the store.
func (o *gatewaysOnce) setFaults(f keyedlog.Faults) {
	for _, v := range o.views {
		v.Set(f)
	}
}
