package entry

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/structs"
)

// index says which connected targets serve what. It is immutable but for each
// group's survey.
type index struct {
	models   map[structs.ModelID]*group
	services map[structs.ServiceID]*group
}

// group is the targets that can do the same work.
type group struct {
	targets []*target
	median  atomic.Int64 // time.Duration of the targets' average first byte
}

func newIndex(connected []*target) *index {
	slices.SortFunc(connected, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	x := &index{
		models:   make(map[structs.ModelID]*group),
		services: make(map[structs.ServiceID]*group),
	}
	for _, t := range connected {
		if t.service != "" {
			addTo(x.services, t.service, t)
		}
		for _, m := range t.modelList() {
			addTo(x.models, m, t)
		}
	}
	return x
}

func addTo[K comparable](groups map[K]*group, key K, t *target) {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	g.targets = append(g.targets, t)
}

func (t *target) modelList() []structs.ModelID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.models
}

// survey computes each group's median anew.
func (x *index) survey() {
	for _, g := range x.models {
		g.survey()
	}
	for _, g := range x.services {
		g.survey()
	}
}

func (g *group) survey() {
	averages := make([]time.Duration, 0, len(g.targets))
	for _, t := range g.targets {
		if a := t.average(); a > 0 {
			averages = append(averages, a)
		}
	}
	if len(averages) < 2 {
		g.median.Store(0)
		return
	}
	slices.Sort(averages)
	g.median.Store(int64(averages[(len(averages)-1)/2]))
}

// fleet is what a target of the group is compared with.
func (g *group) fleet() choose.FleetView {
	f := choose.FleetView{Median: time.Duration(g.median.Load()), Total: len(g.targets)}
	for _, t := range g.targets {
		if t.ejected.Load() {
			f.Ejected++
		}
	}
	return f
}
