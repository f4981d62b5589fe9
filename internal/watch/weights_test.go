package watch

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/workspace"
)

// Guards against a weight of a misspelt workspace that has no effect and is not logged, and against a line for each new
// version of the configuration.
func TestUnknownWorkspacesWithWeightsAreLoggedOncePerChange(t *testing.T) {
	var out bytes.Buffer
	w := &Watch{log: hclog.New(&hclog.LoggerOptions{Output: &out}), weights: map[string]float64{"a": 2, "misspelt": 3}}
	known := []workspace.Workspace{{Name: "a"}}
	for i, c := range []struct {
		list []workspace.Workspace
		want int // lines so far
	}{{known, 1}, {known, 1}, {append(known, workspace.Workspace{Name: "misspelt"}), 1}, {known, 2}, {nil, 3}} {
		w.logUnknownWeights(c.list)
		if n := strings.Count(out.String(), "misspelt"); n != c.want {
			t.Errorf("after configuration %d there are %d lines, want %d: %s", i, n, c.want, out.String())
		}
	}
}
