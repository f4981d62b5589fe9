package watch

import (
	"slices"

	"arbutusramp/core/workspace"
)

// logUnknownWeights logs the workspaces that have a weight in the settings and are not in the configuration, if they
// are others than in the previous configuration. Their weights have no effect. The caller holds w.mu.
func (w *Watch) logUnknownWeights(list []workspace.Workspace) {
	isKnown := make(map[string]bool, len(list))
	for _, ws := range list {
		isKnown[ws.Name] = true
	}
	var unknown []string
	for name := range w.weights {
		if !isKnown[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	if len(unknown) > 0 && !slices.Equal(unknown, w.unknownWeights) {
		w.log.Warn("weights of workspaces that are not in the configuration are ignored", "workspaces", unknown)
	}
	w.unknownWeights = unknown
}
