package settings

import (
	"fmt"
	"strings"

	"arbutusramp/core/errs"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	File string
	// Line is where, from 1; 0 if the key is not in the file.
	Line    int
	Section string
	Key     string
	Problem string
	// Allowed says in words what would be right.
	Allowed string
}

// String gives the fault as one line: file:line: [section] key: problem; allowed: what.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(":")
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	fmt.Fprintf(&b, ": %s", f.Problem)
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// faultsError joins faults into one *errs.Error of type errs.BadSettings, one
// fault a line; nil for none.
func faultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return errs.New(errs.BadSettings, strings.Join(lines, "\n"))
}
