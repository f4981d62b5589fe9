package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/policy"
)

// compare runs all policies with some engines lost, and returns the results by name.
func compare(t *testing.T, lost int) map[string]*Result {
	t.Helper()
	o := DefaultOptions()
	o.Lost = lost
	r, err := Run(o, Policies())
	if err != nil {
		t.Fatal(err)
	}
	byName := make(map[string]*Result)
	for _, p := range r.Policies {
		byName[p.Policy] = p
	}
	return byName
}

// The order of the policies is what whole days of the product have shown: docs/PLATFORM.md, what was weighed.
func TestTheOrderOfPoliciesIsThatOfWholeDays(t *testing.T) {
	calm := compare(t, 0)
	if spare, all := calm["two spare slots"], calm["product"]; spare.ItemsInTime >= all.ItemsInTime {
		t.Errorf("spare slots: %d items in time, without them %d", spare.ItemsInTime, all.ItemsInTime)
	}
	if turns, none := calm["product"], calm["no turns"]; 3*turns.Cut > 2*none.Cut {
		t.Errorf("with turns %d runs were cut, without them %d", turns.Cut, none.Cut)
	}
	over := compare(t, 3)
	product, admitted, due := over["product"], over["all admitted"], over["due first"]
	if product.InTime <= admitted.InTime || product.SentAway == 0 || admitted.SentAway != 0 {
		t.Errorf("%d streams in time with %d sent away; with all admitted %d", product.InTime, product.SentAway, admitted.InTime)
	}
	if product.ItemsInTime <= due.ItemsInTime {
		t.Errorf("%d items in time, in the order of due times alone %d", product.ItemsInTime, due.ItemsInTime)
	}
}

// Nothing may be lost: every stream gets its first event or hears at once that it can't be served, which is rare here, and every item
// is done, in time or not.
func TestEveryArrivalIsServed(t *testing.T) {
	o := DefaultOptions()
	o.Lost, o.Seconds = 3, 20
	for _, p := range Policies() {
		r := newSim(o, p)
		got := r.run()
		if got.InTime+got.Late+got.Refused != got.Streams {
			t.Errorf("%s: %d of %d streams", p.Name, got.InTime+got.Late+got.Refused, got.Streams)
		}
		if !p.Off.IsEnabled(policy.QueueRetries) && got.Refused > 0 || 20*got.Refused > got.Streams {
			t.Errorf("%s: %d of %d streams were refused", p.Name, got.Refused, got.Streams)
		}
		for _, g := range r.gateways {
			if len(g.items)+len(g.runs) != 0 {
				t.Errorf("%s: %s has %d items and %d runs left", p.Name, g.name, len(g.items), len(g.runs))
			}
		}
	}
}

func TestTheSameSeedGivesTheSame(t *testing.T) {
	var texts [2]bytes.Buffer
	for i := range texts {
		o := DefaultOptions()
		o.Seconds, o.Lost = 10, 3
		r, err := Run(o, Policies())
		if err != nil {
			t.Fatal(err)
		}
		r.Print(&texts[i])
	}
	if texts[0].String() != texts[1].String() {
		t.Errorf("%s\n%s", texts[0].String(), texts[1].String())
	}
}

func TestBadOptionsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no gateway":      func(o *Options) { o.Gateways = 0 },
		"all engines":     func(o *Options) { o.Lost = o.Engines },
		"no streams":      func(o *Options) { o.Streams = 0 },
		"jobs below zero": func(o *Options) { o.Jobs = -1 },
	} {
		o := DefaultOptions()
		change(&o)
		if _, err := Run(o, Policies()); !errs.Is(err, errs.BadSettings) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestThePlotIsWritten(t *testing.T) {
	r := &Report{Policies: []*Result{{Policy: "p", Streams: 2, InTime: 1, Items: 4, ItemsInTime: 3}}}
	file := filepath.Join(t.TempDir(), "p.svg")
	if err := r.Plot(file); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(text), "share of streams in time") {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if err := r.Plot(filepath.Join(t.TempDir(), "p.none")); !errs.Is(err, errs.BadSettings) {
		t.Errorf("an ending without a format: %v", err)
	}
}
