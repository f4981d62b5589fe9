package reconcile

import (
	"strings"

	"arbutusramp/core/structs"
)

// adapterSep stands between model and adapter in the names that engines report.
const adapterSep = ":"

// LoadedOf groups the names that an engine reports ("m", "m:adapter") by model.
// An adapter whose model is not reported is left out.
func LoadedOf(names []structs.ModelID) []structs.Loaded {
	var out []structs.Loaded
	at := make(map[structs.ModelID]int)
	for _, n := range names {
		if !strings.Contains(string(n), adapterSep) {
			at[n] = len(out)
			out = append(out, structs.Loaded{Model: n})
		}
	}
	for _, n := range names {
		model, adapter, ok := strings.Cut(string(n), adapterSep)
		if !ok {
			continue
		}
		if i, known := at[structs.ModelID(model)]; known {
			out[i].Adapters = append(out[i].Adapters, adapter)
		}
	}
	return out
}
