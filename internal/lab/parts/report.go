package parts

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the outcome of a comparison.
type Report struct {
	Options Options  `json:"options"`
	Ways    []Result `json:"ways"`
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "WAY\tCRASHES\tREACHED\tLATE\tSOUND\tREJECTED\tLOST\tLATER SOUND\tREJECTED\tRECORDS\t\n")
	for _, x := range r.Ways {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", x.Way, x.Crashes, x.Reached, x.Late, x.Sound, x.Rejected, x.Lost, x.LateSound, x.LateRejected, x.Records)
	}
	_ = t.Flush() // as for other reports, a reader that has gone ends the process
}
