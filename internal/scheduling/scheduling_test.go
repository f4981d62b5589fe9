package scheduling

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
)

var state = fleet.Scheduling{
	Targets: []fleet.TargetState{
		{ID: "i-7", Service: "llm", State: "in service", Slowness: 2.41, Pace: 1.2, WaitMs: 310, Online: 11, Slots: 8, Runs: 40, AgeMs: 120},
		{ID: "i-1", Service: "llm", State: "suspect", Slowness: 1, Pace: 1, Batch: 3, Slots: 8},
	},
	TargetsLeftOut: 12,
	Services: []fleet.ServiceState{
		{
			Service: "llm", Targets: 13, Slots: 104, IsCostAware: true, Online: 97, Batch: 3, Mean: 81.5, Swing: 90, PeriodMs: 6600, Forecast: 104.25, WaitMs: 20, HoldMs: 950,
			IsOverloaded: true, OverloadMs: 1500, OverloadSource: "g-2", IsShared: true, WorkspacesLeftOut: 5,
			Workspaces: []fleet.WorkspaceState{{Workspace: "loud", Share: 40, Use: 43.5, Lent: 3.5, Offered: 270, Rejected: 812, IsOverShare: true}},
		},
		{Service: "lookup", Targets: 2, Slots: 16, Workspaces: []fleet.WorkspaceState{}},
	},
}

const tables = `TARGET  SERVICE  STATE       SLOWNESS  PACE  WAIT ms  ONLINE  BATCH  SLOTS  AGE ms
i-7     llm      in service  2.41      1.2   310      11      0      8      120
i-1     llm      suspect     1         1     0        0       3      8      -
12 more targets left out

SERVICE  TARGETS  SLOTS  ONLINE  BATCH  MEAN  SWING  PERIOD ms  IN 1 s  WAIT ms  HOLD ms  OVERLOAD
llm      13       104    97      3      81.5  90     6600       104.25  20       950      1500 ms, by g-2
lookup   2        16     0       0      -     -      -          -       0        -        no

WORKSPACE  SERVICE  SHARE  USE   LENT  OFFERED  REJECTED  OVER SHARE
loud       llm      40     43.5  3.5   270      812       true
5 more workspaces left out
`

// Guards against fields that are lost between a gateway and the tables, and rows that are left out unseen.
func TestStateIsFetchedAndPrinted(t *testing.T) {
	server := httptest.NewServer(Handler(func() fleet.Scheduling { return state }))
	defer server.Close()
	for _, addr := range []string{server.URL, server.Listener.Addr().String()} {
		got, err := Fetch(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := Print(&out, got); err != nil {
			t.Fatal(err)
		}
		if out.String() != tables {
			t.Errorf("%s: got\n%swant\n%s", addr, out.String(), tables)
		}
	}
}

// Guards against errors that don't say what was seen: a wrong address, another server, a gateway without the endpoint.
func TestFetchErrorsSayWhatWasSeen(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		typ     errs.Type
		text    string
	}{
		{"status", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such page", http.StatusNotFound) }, errs.BadFrame, `status 404: "no such page`},
		{"metrics", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("peers 3\n")) }, errs.BadFrame, `8 bytes that are no state of the scheduling`},
		{"nobody listens", nil, errs.TargetFailed, "connection refused"},
	} {
		addr := closed.URL
		if c.handler != nil {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			addr = server.URL
		}
		_, err := Fetch(context.Background(), addr)
		if err == nil || errs.As(err).Type != c.typ || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: error %v, want one of type %s with %q", c.name, err, c.typ, c.text)
		}
	}
}
