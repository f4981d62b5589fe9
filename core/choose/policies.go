package choose

import "arbutusramp/core/errs"

// DefaultPolicy is the name of the policy used when settings name none.
const DefaultPolicy = "two-choices"

const defaultQueuePerLimit = 4

// Policies lists the names that New knows.
func Policies() []string {
	return []string{"random", "two-choices", "hot-cold", "best"}
}

// New returns the policy of that name. Error: errs.BadSettings.
func New(name string) (*Policy, error) {
	var pick Picker
	switch name {
	case "random":
		pick = Random{}
	case "two-choices":
		pick = TwoChoices{}
	case "hot-cold":
		pick = HotCold{}
	case "best":
		pick = Best{}
	default:
		return nil, errs.Newf(errs.BadSettings, "no policy for choosing targets is called %q", name)
	}
	return &Policy{
		Name:          name,
		Filters:       []Filter{Serves{}, Staying{}, Untried{}, Healthy{}, Circuit{}},
		Scorers:       []Scorer{FreshLoad{}, FirstToken{}, PrefixAffinity{}, SameDomain{}},
		Picker:        pick,
		QueuePerLimit: defaultQueuePerLimit,
	}, nil
}
