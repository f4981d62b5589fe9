package choose

import "arbutusramp/core/errs"

// DefaultPolicy is the name of the policy used when settings name none;
// docs/ROUTING.md has the measurement that speaks for it.
const DefaultPolicy = "two-choices"

const defaultQueuePerLimit = 4

// recipe is how a policy scores and picks.
type recipe struct {
	name    string
	picker  Picker
	scorers []Scorer
}

// allScorers is each scorer that the default policy uses.
func allScorers() []Scorer {
	return []Scorer{FreshLoad{}, FirstToken{}, PrefixAffinity{}, SameDomain{}}
}

// recipes are the policies, from the simplest on. Those that leave scorers out are
// there to be compared with.
func recipes() []recipe {
	return []recipe{
		{"random", Random{}, nil},
		{"reported", TwoChoices{}, []Scorer{ReportedLoad{}}},
		{"fresh", TwoChoices{}, []Scorer{FreshLoad{}}},
		{"prequal", HotCold{}, []Scorer{FreshLoad{}, FirstToken{}}},
		{"affinity", Best{}, []Scorer{FreshLoad{}, FirstToken{}, PrefixAffinity{}}},
		{"home", Best{}, []Scorer{FreshLoad{}, FirstToken{}, PrefixHome{}}},
		{"home-domain", Best{}, []Scorer{FreshLoad{}, FirstToken{}, PrefixHome{}, SameDomain{}}},
		{"two-choices", TwoChoices{}, allScorers()},
		{"hot-cold", HotCold{}, allScorers()},
		{"best", Best{}, allScorers()},
	}
}

// Policies lists the names that New knows.
func Policies() []string {
	var names []string
	for _, r := range recipes() {
		names = append(names, r.name)
	}
	return names
}

// New returns the policy of that name. Error: errs.BadSettings.
func New(name string) (*Policy, error) {
	for _, r := range recipes() {
		if r.name != name {
			continue
		}
		return &Policy{
			Name:          name,
			Filters:       []Filter{Serves{}, Staying{}, Untried{}, Healthy{}, Circuit{}},
			Scorers:       r.scorers,
			Picker:        r.picker,
			QueuePerLimit: defaultQueuePerLimit,
		}, nil
	}
	return nil, errs.Newf(errs.BadSettings, "no policy for choosing targets is called %q", name)
}
