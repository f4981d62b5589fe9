package crashes

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
	fmt.Fprintf(t, "WAY\tITEMS\tDONE\tLEFT\tTARGETS LOST\tBY ITEMS\tRUNS BROKEN\tIN BURSTS\tMEAN ms\tIDLE ms\tEVENTS/s\t\n")
	for _, x := range r.Ways {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%.0f\t\n", x.Way, x.Items, x.Done, x.LeftOver, x.Lost, x.Own, x.Broken, x.Again, x.MeanMs, x.IdleMs, x.Events)
	}
	_ = t.Flush() // as for other reports, a reader that has gone ends the process
}
