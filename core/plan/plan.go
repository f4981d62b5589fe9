// Package plan turns intents into a plan: what would happen, what it costs and
// what it conflicts with. Make is a pure function. A Plan is self-contained: the
// operator keeps it and hands it back at the confirm, so that hosts keep nothing.
package plan

import (
	"crypto/sha256"
	"encoding/hex"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Plan is what intents would do, made from one configuration version.
type Plan struct {
	// ID is the SHA-256 of all other fields (hex).
	ID       string           `cbor:"1,keyasint,omitempty" json:"id"`
	Base     structs.Version  `cbor:"2,keyasint" json:"base"`
	Operator string           `cbor:"3,keyasint" json:"operator"`
	MadeMs   int64            `cbor:"4,keyasint" json:"made_ms"` // milliseconds since 1970
	Intents  []structs.Intent `cbor:"5,keyasint,omitempty" json:"intents,omitempty"`
	Steps    []Step           `cbor:"6,keyasint,omitempty" json:"steps,omitempty"`
	Cost     Cost             `cbor:"7,keyasint" json:"cost"`
	Capacity Capacity         `cbor:"8,keyasint" json:"capacity"`
	// Warnings say what the plan collides with or can't reach.
	Warnings []string `cbor:"9,keyasint,omitempty" json:"warnings,omitempty"`
	// Touches are objects besides those of the intents that the plan relied on: a
	// change of one of them makes the plan stale.
	Touches []string `cbor:"10,keyasint,omitempty" json:"touches,omitempty"`
}

// Step is one thing that happens.
type Step struct {
	Object string `cbor:"1,keyasint" json:"object"` // "model/m7"
	// Action is set, load, unload, drain, remove, run or cancel.
	Action  string           `cbor:"2,keyasint" json:"action"`
	Target  structs.TargetID `cbor:"3,keyasint,omitempty" json:"target,omitempty"`
	Bytes   int64            `cbor:"4,keyasint,omitempty" json:"bytes,omitempty"`    // from the weight store
	Seconds float64          `cbor:"5,keyasint,omitempty" json:"seconds,omitempty"`  // at the store's full rate
	Online  int              `cbor:"6,keyasint,omitempty" json:"requests,omitempty"` // online requests touched
	Items   int              `cbor:"7,keyasint,omitempty" json:"items,omitempty"`    // batch items touched
	Detail  string           `cbor:"8,keyasint,omitempty" json:"detail,omitempty"`
}

// Cost sums up the steps.
type Cost struct {
	Bytes   int64   `cbor:"1,keyasint,omitempty" json:"bytes"`
	Seconds float64 `cbor:"2,keyasint,omitempty" json:"seconds"` // 0 with Bytes set: the store's rate is not known
	Online  int     `cbor:"3,keyasint,omitempty" json:"requests"`
	Items   int     `cbor:"4,keyasint,omitempty" json:"items"`
	// Unknown counts loads whose size is not known.
	Unknown int `cbor:"5,keyasint,omitempty" json:"loads_of_unknown_size,omitempty"`
}

// Capacity is what the fleet has for work now, while the plan is carried out, and after it.
type Capacity struct {
	Now       Room `cbor:"1,keyasint" json:"now"`
	Meanwhile Room `cbor:"2,keyasint" json:"meanwhile"`
	After     Room `cbor:"3,keyasint" json:"after"`
}

// Room counts targets and the requests that they take at a time.
type Room struct {
	Targets  int `cbor:"1,keyasint,omitempty" json:"targets"`
	Requests int `cbor:"2,keyasint,omitempty" json:"requests"`
}

// View is what Make may know besides the configuration. It lags.
type View struct {
	Fleet structs.Fleet
	// ItemsLeft counts the items of jobs that are not finished, as far as known.
	ItemsLeft map[structs.JobID]int
	// Partial says that Fleet is only a part of the fleet.
	Partial bool
}

// Hash returns what ID has to be.
func (p *Plan) Hash() (string, error) {
	c := *p
	c.ID = ""
	b, err := confstate.Encode(c)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// Check reports a plan whose content is not what was planned. Error: errs.BadRequest.
func (p *Plan) Check() error {
	want, err := p.Hash()
	if err != nil {
		return err
	}
	if p.ID != want {
		return errs.Newf(errs.BadRequest, "the plan was changed after it was made: its id is %.12s, its content says %.12s", p.ID, want)
	}
	return nil
}

// Confirm returns the record by which operator confirms p.
func (p *Plan) Confirm(operator string, nowMs int64) *structs.Confirm {
	return &structs.Confirm{
		Plan:     p.ID,
		Base:     p.Base,
		Operator: operator,
		Intents:  p.Intents,
		Touches:  p.Touches,
		AtMs:     nowMs,
	}
}

// Conflict returns what has changed at s since p was made, or nil.
func (p *Plan) Conflict(s *confstate.State) *confstate.First {
	return s.Conflict(p.Base, confstate.Objects(p.Intents, p.Touches))
}

// Make returns the plan of intents for operator. Error: errs.Conflict when an
// intent does not fit the state, with the intent's object in its message.
func Make(s *confstate.State, v View, intents []structs.Intent, operator string, nowMs int64) (*Plan, error) {
	after, err := s.Preview(intents, nowMs)
	if err != nil {
		return nil, err
	}
	b := builder{
		before: s,
		after:  after,
		view:   v,
		plan: &Plan{
			Base:     s.Version,
			Operator: operator,
			MadeMs:   nowMs,
			Intents:  intents,
		},
	}
	b.build()
	b.plan.ID, err = b.plan.Hash()
	return b.plan, err
}
