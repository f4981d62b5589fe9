package mix

import (
	"flag"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"arbutusramp/core/errs"

	"github.com/hashicorp/go-hclog"
)

// Options is what `arbutusctl lab mix` is asked.
type Options struct {
	Shape    string  // kelpie or tuulai
	Policy   string  // latency, balanced or throughput
	Headroom float64 // overrides Policy's setting when it is 0..1
	Seed     uint64  // of the load plan and the stand-ins
	Seconds  int     // length of each phase with online load
	Fault    string  // one of FaultNames, or empty
	Plot     string  // file, .svg or .png
	JSON     bool    // print the report as one JSON object
	Curve    bool    // also run the product over the policy setting and plot that
	Brief    bool    // leave out the baselines

	Out      io.Writer    // the report; nil is standard output
	Progress io.Writer    // progress lines; nil is standard error
	Logger   hclog.Logger // log of the system under test; nil logs nothing
}

// Default values and bounds of Options.
const (
	DefaultSeconds = 60
	MaxSeconds     = 600
	minSeconds     = 5
)

// headrooms is the setting that each policy name stands for.
var headrooms = map[string]float64{"latency": 1, "balanced": 0.5, "throughput": 0}

// Flags registers the command's flags on f.
func (o *Options) Flags(f *flag.FlagSet) {
	f.StringVar(&o.Shape, "shape", "kelpie", "fleet: kelpie (3 failure domains, 9 drafting + 3 callback-app runners) or tuulai (4 domains, 9 + 4)")
	f.StringVar(&o.Policy, "policy", "balanced", "latency (least harm to online), balanced, or throughput (most batch)")
	f.Float64Var(&o.Headroom, "headroom", -1, "policy setting from 0 (throughput) to 1 (latency) in place of --policy")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, sizes and stand-ins")
	f.IntVar(&o.Seconds, "seconds", DefaultSeconds, "length of each phase with online load, in seconds (5..600)")
	f.StringVar(&o.Fault, "fault", "", "failure during the product's phase: "+strings.Join(FaultNames(), ", "))
	f.StringVar(&o.Plot, "plot", "", "draw to `FILE` (.svg or .png)")
	f.BoolVar(&o.JSON, "json", false, "print the report as one JSON object")
	f.BoolVar(&o.Curve, "curve", false, "run the product at several settings and plot harm against batch share")
	f.BoolVar(&o.Brief, "brief", false, "leave out the baselines")
}

// check fills in what may be left out and refuses what makes no sense. Error: errs.BadSettings.
func (o *Options) check() error {
	if o.Out == nil {
		o.Out = os.Stdout
	}
	if o.Progress == nil {
		o.Progress = os.Stderr
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Seconds < minSeconds || o.Seconds > MaxSeconds {
		return errs.Newf(errs.BadSettings, "seconds: %d is outside %d..%d", o.Seconds, minSeconds, MaxSeconds)
	}
	if o.Headroom > 1 {
		return errs.Newf(errs.BadSettings, "headroom: %g is outside 0..1", o.Headroom)
	}
	if _, ok := headrooms[o.Policy]; !ok {
		return errs.Newf(errs.BadSettings, "policy: %q is none of latency, balanced, throughput", o.Policy)
	}
	if o.Fault != "" && !slices.Contains(FaultNames(), o.Fault) {
		return errs.Newf(errs.BadSettings, "fault: %q is none of %s", o.Fault, strings.Join(FaultNames(), ", "))
	}
	return nil
}

// headroom is the policy setting that the options ask for.
func (o *Options) headroom() float64 {
	if o.Headroom >= 0 {
		return o.Headroom
	}
	return headrooms[o.Policy]
}

// length is the time of a phase with online load.
func (o *Options) length() time.Duration { return time.Duration(o.Seconds) * time.Second }
