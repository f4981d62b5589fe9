package fleet

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a comparison.
type Report struct {
	Options  Options   `json:"options"`
	Policies []*Result `json:"policies"`
}

// Result is what came of one policy.
type Result struct {
	Policy  string `json:"policy"`
	Streams int    `json:"streams"`
	InTime  int    `json:"streams_in_time"`
	// SentAway counts refusals with a time to come back, ReturnedInTime those who then came and were in time from that moment.
	SentAway int `json:"sent_away"`
	Late     int `json:"streams_late"`
	// Refused counts those who were told that they can't be served.
	Refused     int     `json:"streams_refused"`
	P50Ms       float64 `json:"first_event_p50_ms"` // since the caller first came
	P99Ms       float64 `json:"first_event_p99_ms"`
	Items       int     `json:"items"`
	ItemsInTime int     `json:"items_in_time"`
	Runs        int     `json:"item_runs"`
	Cut         int     `json:"runs_cut"`
	// CutWithoutGain counts the runs that were cut before their first event.
	CutWithoutGain int `json:"runs_cut_without_gain"`
	ItemsDone      int `json:"items_done"`
	// Restarted counts the items that were begun again, EventsLost their events.
	Restarted  int `json:"items_restarted"`
	EventsLost int `json:"events_lost"`
	firsts     *hdrhistogram.Histogram
}

// Bounds of first events, in microseconds.
const (
	histMax    = 600 * 1e6
	histDigits = 3
)

func newResult(policy string) *Result {
	return &Result{Policy: policy, firsts: hdrhistogram.New(1, histMax, histDigits)}
}

// first takes in a stream's first event, so long after its caller first came.
func (r *Result) first(took, goal time.Duration) {
	_ = r.firsts.RecordValue(min(histMax, took.Microseconds())) // within the bounds
	if took <= goal {
		r.InTime++
		return
	}
	r.Late++
}

// done takes in an item's end.
func (r *Result) done(now time.Time, it *item) {
	r.ItemsDone++
	if !now.After(it.due) {
		r.ItemsInTime++
	}
}

func (r *Result) close() {
	r.P50Ms = float64(r.firsts.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(r.firsts.ValueAtQuantile(99)) / 1000
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	o := r.Options
	fmt.Fprintf(w, "%d gateways, %d of %d engines, %d versions, %.0f streams/s and %.2f jobs/s for %d s, seed %d\n",
		o.Gateways, o.Engines-o.Lost, o.Engines, o.Versions, o.Streams, o.Jobs, o.Seconds, o.Seed)
	fmt.Fprintf(w, "%-16s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "policy", "streams", "away", "refused", "p50 ms", "p99 ms", "items", "cut", "restarts", "lost ev.")
	for _, p := range r.Policies {
		fmt.Fprintf(w, "%-16s %8.3f %8d %8d %8.0f %8.0f %8.3f %8d %8d %8d\n",
			p.Policy, share(p.InTime, p.Streams), p.SentAway, p.Refused, p.P50Ms, p.P99Ms, share(p.ItemsInTime, p.Items), p.Cut, p.Restarted, p.EventsLost)
	}
}
