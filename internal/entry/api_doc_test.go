package entry

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

const apiPage = "../../docs/API.md"

// TestAPIPageListsEveryErrorType compares the table in docs/API.md with core/errs.
func TestAPIPageListsEveryErrorType(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(page), "| type | status | ran | what to do |\n|---|---|---|---|\n")
	if !ok {
		t.Fatal("docs/API.md has no table of error types")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	if got, want := strings.TrimSpace(table), errorTable(); got != want {
		t.Errorf("the table in docs/API.md is\n%s\nwant\n%s", got, want)
	}
}

func errorTable() string {
	types := errs.Types()
	var rows []string
	for _, name := range slices.Sorted(maps.Keys(types)) {
		info := types[name]
		rows = append(rows, fmt.Sprintf("| `%s` | %d | %s | %s |", name, info.Status, info.Ran, info.Advice))
	}
	return strings.Join(rows, "\n")
}
