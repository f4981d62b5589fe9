package admin

import (
	"context"
	"maps"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/plan"
	"arbutusramp/core/structs"
)

// sizesTimeout bounds all questions to the weight store for one plan. What it has
// not told by then, the plan shows as unknown.
const sizesTimeout = 2 * time.Second

// view returns what a plan may know, with the sizes of the models that it names.
func (a *Admin) view(s *confstate.State, intents []structs.Intent) plan.View {
	v := a.opts.View()
	if a.opts.Weights == nil {
		return v
	}
	ctx, cancel := context.WithTimeout(context.Background(), sizesTimeout)
	defer cancel()
	sizes := maps.Clone(v.Fleet.Sizes)
	if sizes == nil {
		sizes = make(map[structs.ModelVersion]int64)
	}
	for _, i := range intents {
		if i.Model == nil {
			continue
		}
		key := structs.ModelVersion{Model: i.Model.ID, Version: s.Models[i.Model.ID].Version}
		if i.Model.Version != nil {
			key.Version = *i.Model.Version
		}
		if _, known := sizes[key]; known {
			continue
		}
		if size, err := a.opts.Weights.Size(ctx, key.Model, key.Version); err == nil {
			sizes[key] = size
		}
	}
	v.Fleet.Sizes = sizes
	return v
}
