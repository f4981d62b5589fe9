package settings

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

// Guards against a typing error in the weights of workspaces that changes the division of the capacity unnoticed.
func TestWeightsOfWorkspaces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.ini")
	load := func(weights string) (Gateway, error) {
		if err := os.WriteFile(path, []byte(gatewayFile+"[sharing]\nworkspaces = true\nweights = "+weights+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadGateway(path)
	}
	g, err := load("a:2, b:0.01,c:100")
	if want := map[string]float64{"a": 2, "b": 0.01, "c": 100}; err != nil || !g.IsSharing || !maps.Equal(g.SharingWeights, want) {
		t.Errorf("weights %v with error %v, want %v", g.SharingWeights, err, want)
	}
	for name, weights := range map[string]string{
		"negative": "a:-1", "zero": "a:0", "NaN": "a:NaN", "infinite": "a:Inf", "too small": "a:0.009", "too large": "a:100.1",
		"no number": "a:much", "no weight": "a", "empty weight": "a:", "empty name": ":2", "twice": "a:1,b:1,a:2", "empty": "", "empty part": "a:1,,b:2",
	} {
		if _, err := load(weights); !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), "weights") {
			t.Errorf("%s: weights %q have error %v, want one that names the setting", name, weights, err)
		}
	}
}
