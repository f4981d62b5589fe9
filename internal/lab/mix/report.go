package mix

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
)

// Report is what one run has shown. Its figures are those of the product's phase.
type Report struct {
	Shape    string  `json:"shape"`
	Policy   string  `json:"policy"`
	Headroom float64 `json:"headroom"`
	Seed     uint64  `json:"seed"`
	Seconds  int     `json:"seconds"`
	Fault    string  `json:"fault,omitempty"`
	Figures
	// OnlineAlone is the floor: the product without batch.
	OnlineAlone Figures `json:"online_alone"`
	// BatchAlone is batch sent straight to the engines without online: their highest rate.
	BatchAlone Figures            `json:"batch_alone"`
	Baselines  map[string]Figures `json:"baselines"`
	// Curve is the product at other settings, from throughput to latency.
	Curve []CurvePoint `json:"curve,omitempty"`
}

// Figures are those of one phase.
type Figures struct {
	OnlineCalls int     `json:"online_calls"`
	TTFTP50     float64 `json:"online_ttft_p50_ms"`
	TTFTP99     float64 `json:"online_ttft_p99_ms"`
	ServiceP99  float64 `json:"service_p99_ms"`
	// HarmP99 and HarmP50 are the time to the first token over that of the floor.
	HarmP99       float64 `json:"harm_p99"`
	HarmP50       float64 `json:"harm_p50"`
	BatchItems    float64 `json:"batch_items_per_s"`
	BatchTokens   float64 `json:"batch_tokens_per_s"`
	BatchWork     float64 `json:"batch_engine_seconds_per_s"`
	ShareOfIdle   float64 `json:"batch_share_of_idle"`
	EngineCancels int64   `json:"engine_cancels"`
	Resends       int     `json:"caller_resends"`

	ErrorsByType     map[string]int `json:"errors_by_type"`
	Violations       int            `json:"violations"`
	ViolationDetails []string       `json:"violation_details,omitempty"`

	// CPUCores is what the whole lab process used, stand-ins included.
	CPUCores      float64 `json:"cpu_cores"`
	LateSteps     int64   `json:"engine_late_steps"`
	MaxStepLateMs float64 `json:"engine_max_late_ms"`
}

// CurvePoint is the product at one setting.
type CurvePoint struct {
	Headroom float64 `json:"headroom"`
	Figures
}

// maxDetails bounds the violations that a report spells out.
const maxDetails = 20

func figuresOf(o *outcome) Figures {
	return Figures{
		OnlineCalls:      o.calls,
		TTFTP50:          o.firstToken.ms(50),
		TTFTP99:          o.firstToken.ms(99),
		ServiceP99:       o.service.ms(99),
		BatchItems:       o.batch.items,
		BatchTokens:      o.batch.tokens,
		BatchWork:        o.batch.work,
		EngineCancels:    o.preempted,
		Resends:          o.resends,
		ErrorsByType:     o.errors,
		Violations:       len(o.violations),
		ViolationDetails: o.violations[:min(maxDetails, len(o.violations))],
		CPUCores:         o.cpu,
		LateSteps:        o.pace.LateSteps,
		MaxStepLateMs:    o.pace.MaxLateMs,
	}
}

// compare sets what is relative to online alone and to the idle capacity.
func (f *Figures) compare(floor *Figures, idle rate) {
	f.HarmP50 = ratio(f.TTFTP50, floor.TTFTP50)
	f.HarmP99 = ratio(f.TTFTP99, floor.TTFTP99)
	f.ShareOfIdle = ratio(f.BatchTokens, idle.tokens)
}

// ratio is a/b to four digits, 0 without a b.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	const digits = 1e4
	return math.Round(a/b*digits) / digits
}

// idleRate is what the engines could do beside the online load: their highest
// rate of batch less the engine time that the online calls take in a full batch.
func idleRate(alone rate, onlineWork float64) rate {
	if alone.work <= 0 {
		return rate{}
	}
	left := max(0, 1-onlineWork/alone.work)
	return rate{items: alone.items * left, tokens: alone.tokens * left, work: alone.work * left}
}

// onlineWork is the engine time a second that the planned calls take.
func onlineWork(calls []call, seconds float64) float64 {
	var sum float64
	for i := range calls {
		if calls[i].Kind == callStream {
			sum += requestWork(len(calls[i].Prompt)/bytesPerToken, calls[i].Max)
		}
	}
	return sum / seconds
}

// write prints the report as JSON or as a table.
func (r *Report) write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	fmt.Fprintf(w, "%s, policy %s (headroom %g), seed %d, %d s", r.Shape, r.Policy, r.Headroom, r.Seed, r.Seconds)
	if r.Fault != "" {
		fmt.Fprintf(w, ", fault %s", r.Fault)
	}
	fmt.Fprintf(w, "\n%-22s %9s %9s %7s %8s %7s %7s %5s %5s  %s\n",
		"", "ttft p50", "ttft p99", "harm", "items/s", "share", "calls", "viol", "cpu", "errors")
	row := func(name string, f *Figures) {
		fmt.Fprintf(w, "%-22s %9.1f %9.1f %7.3f %8.2f %7.3f %7d %5d %5.1f  %s\n", name,
			f.TTFTP50, f.TTFTP99, f.HarmP99, f.BatchItems, f.ShareOfIdle, f.OnlineCalls, f.Violations, f.CPUCores, errorList(f.ErrorsByType))
	}
	row("online alone", &r.OnlineAlone)
	row("batch alone", &r.BatchAlone)
	row("product", &r.Figures)
	for _, name := range slices.Sorted(maps.Keys(r.Baselines)) {
		f := r.Baselines[name]
		row(name, &f)
	}
	for i := range r.Curve {
		row(fmt.Sprintf("headroom %.2f", r.Curve[i].Headroom), &r.Curve[i].Figures)
	}
	for _, v := range r.ViolationDetails {
		fmt.Fprintf(w, "violation: %s\n", v)
	}
	return nil
}

func errorList(errors map[string]int) string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(errors)) {
		s += fmt.Sprintf("%s %d ", k, errors[k])
	}
	return s
}
