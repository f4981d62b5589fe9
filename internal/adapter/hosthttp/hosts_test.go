package hosthttp_test

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/ownaddr"
)

func TestChangesShowAfterTheLag(t *testing.T) {
	s, err := hostlist.Start(ownaddr.New(), hostlist.Options{
		Hosts: []platform.Host{{ID: "b", State: platform.HostLive}},
		Lag:   time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	l := hosthttp.New(s.URL())
	want := func(ids ...structs.HostID) {
		t.Helper()
		hosts, err := l.Hosts(t.Context())
		if err != nil || len(hosts) != len(ids) {
			t.Fatalf("%+v, %v; want %v", hosts, err, ids)
		}
		for i, id := range ids {
			if hosts[i].ID != id {
				t.Errorf("%+v; want %v", hosts, ids)
			}
		}
	}
	s.Set(platform.Host{ID: "c", Role: platform.RoleSide, State: platform.HostLive})
	s.Set(platform.Host{ID: "a", State: platform.HostLive})
	s.Remove("b")
	want("b")
	s.Turn(func(k *hostlist.Knobs) { k.LagMs = 0 })
	want("a", "c")
	s.Set(platform.Host{ID: "c", State: platform.HostLeaving})
	hosts, err := l.Hosts(t.Context())
	if err != nil || hosts[1].State != platform.HostLeaving || hosts[1].Role != "" {
		t.Errorf("%+v, %v", hosts, err)
	}
	s.Turn(func(k *hostlist.Knobs) { k.Outage = true })
	if _, err := l.Hosts(t.Context()); !errs.Is(err, errs.NoTarget) {
		t.Errorf("got %v", err)
	}
	s.Refuse(time.Hour)
	if _, err := l.Hosts(t.Context()); !errs.Is(err, errs.NoTarget) {
		t.Errorf("got %v", err)
	}
}
