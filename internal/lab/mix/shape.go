package mix

import (
	"fmt"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// shape is a fleet and its load. Engines run with the stand-in's default
// step model; docs of package engine have the figures.
type shape struct {
	name     string
	domains  []structs.FailureDomain
	entries  int // one per domain
	engines  int // spread over the domains
	services int
	service  structs.ServiceID
	model    structs.ModelID
	load     load
	items    items
}

// items is the size of batch items, in tokens.
type items struct {
	prompt, answer sizes
}

// Both fleets have 9 engines. By the stand-in's step model one engine in a full batch finishes
// about 11 (kelpie) or 10 (tuulai) online calls of these sizes a second. Bursts ask
// for about 70 % of what the engines can do, quiet times for a tenth: idle capacity is most
// of the time, and lasts seconds. Heavier bursts queue in the floor itself, which lowers
// the ratio by which batch harms: docs/ADMISSION.md has it for 90 % and 110 %.
// Prompts are case histories and released files, a few hundred to some thousand tokens.
var shapes = map[string]shape{
	"kelpie": {
		name: "kelpie", domains: domains(3), entries: 3, engines: 9, services: 3,
		service: "callback-app", model: "drafting",
		load: load{
			quietPerS: 12, burstPerS: 80,
			quietFor: 7 * time.Second, burstFor: 2500 * time.Millisecond,
			serviceShare: 0.15, confirmShare: 0.5,
			prompt: sizes{median: 600, spread: 0.8, least: 32, most: 6000},
			answer: sizes{median: 40, spread: 0.5, least: 8, most: 200},
		},
		items: items{
			prompt: sizes{median: 600, spread: 0.6, least: 64, most: 4000},
			answer: sizes{median: 150, spread: 0.4, least: 32, most: 400},
		},
	},
	"tuulai": {
		name: "tuulai", domains: domains(4), entries: 4, engines: 9, services: 4,
		service: "records-lookup", model: "drafting",
		load: load{
			quietPerS: 12, burstPerS: 86,
			quietFor: 9 * time.Second, burstFor: 2500 * time.Millisecond,
			serviceShare: 0.3, confirmShare: 0.1,
			prompt: sizes{median: 600, spread: 0.8, least: 32, most: 6000},
			answer: sizes{median: 50, spread: 0.5, least: 8, most: 250},
		},
		items: items{
			prompt: sizes{median: 900, spread: 0.6, least: 64, most: 4000},
			answer: sizes{median: 200, spread: 0.4, least: 32, most: 500},
		},
	},
}

// shapeOf looks a shape up. Error: errs.BadSettings.
func shapeOf(name string) (shape, error) {
	s, ok := shapes[name]
	if !ok {
		return shape{}, errs.Newf(errs.BadSettings, "shape: %q is neither kelpie nor tuulai", name)
	}
	return s, nil
}

func domains(n int) []structs.FailureDomain {
	ds := make([]structs.FailureDomain, n)
	for i := range ds {
		ds[i] = structs.FailureDomain(fmt.Sprintf("d%d", i+1))
	}
	return ds
}

// domainOf spreads hosts over the domains in turn.
func (s shape) domainOf(i int) structs.FailureDomain { return s.domains[i%len(s.domains)] }
