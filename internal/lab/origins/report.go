package origins

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
	fmt.Fprintf(t, "WAY\tRESUMED\tWENT ON\tMIXED\tUNKNOWN\tGONE\tASKED\tDATAGRAMS/S\tSENT B/S\tHEARD B/S\tRECORDS\t\n")
	for _, x := range r.Ways {
		all := float64(max(1, x.Resumed)) / 100
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f\t%.0f\t%.0f\t%.0f\t\n", x.Way, x.Resumed,
			float64(x.WentOn)/all, float64(x.Mixed)/all, float64(x.Unknown)/all, float64(x.Gone)/all, float64(x.Asked)/all,
			float64(x.Datagram)/float64(r.Options.Seconds*r.Options.Gateways), x.SentBytes, x.HeardBytes, x.Records)
	}
	_ = t.Flush() // as for other reports, a reader that has gone ends the process
}
