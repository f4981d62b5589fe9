package scenario

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"github.com/rogpeppe/go-internal/testscript"
)

// list ID ROLE ADDR DOMAIN puts a live host on the host list.
func list(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: list ID ROLE ADDR DOMAIN")
	}
	body, err := json.Marshal(platform.Host{
		ID:     structs.HostID(args[0]),
		Role:   platform.Role(args[1]),
		Addr:   args[2],
		Domain: structs.FailureDomain(args[3]),
		State:  platform.HostLive,
	})
	ts.Check(err)
	resp, err := http.Post(ts.Getenv("HOSTS_URL")+"/knobs/hosts", "application/json", bytes.NewReader(body))
	ts.Check(err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("host list answers %s", resp.Status)
	}
}

// resultLine is what a verdict needs of one line of a job's results.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	}
}

// once FILE N checks that a job's results are those of N items, each once, in item order and well ended.
func once(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: once FILE N")
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	n := 0
	for line := range strings.Lines(ts.ReadFile(args[0])) {
		var r resultLine
		ts.Check(json.Unmarshal([]byte(line), &r))
		if id := "item-" + strconv.Itoa(n); r.CustomID != id {
			ts.Fatalf("line %d is of %q, want %q", n+1, r.CustomID, id)
		}
		if r.Response.StatusCode != http.StatusOK || len(r.Response.Body) == 0 {
			ts.Fatalf("line %d: status %d", n+1, r.Response.StatusCode)
		}
		n++
	}
	if n != want {
		ts.Fatalf("%d results, want %d", n, want)
	}
}
