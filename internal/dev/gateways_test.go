package dev

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
)

func TestGatewaysOnce(t *testing.T) {
	var out bytes.Buffer
	if err := RunGatewaysOnce(t.Context(), hclog.NewNullLogger(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, word := range []string{"stream:", "call:", "job:", "detour:", "outage", "as it should be"} {
		if !strings.Contains(out.String(), word) {
			t.Errorf("no word of %q in\n%s", word, out.String())
		}
	}
}

// A run that finds something wrong must say so: here the job is not there.
func TestGatewaysOnceFailsWhereAJobIsMissing(t *testing.T) {
	g, err := StartGateways(t.Context(), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	if status, _ := g.caller.Results(g.addr(0), "none", 0, 0); status != http.StatusNotFound {
		t.Errorf("a job that nobody handed in: %d", status)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := g.readJob(ctx, 0, "none"); !errs.Is(err, errs.DeadlineExceeded) {
		t.Errorf("a job that is not there was read: %v", err)
	}
}
