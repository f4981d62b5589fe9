package confstate

import (
	"maps"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Empty returns the State before the first record.
func Empty() *State { return &State{} }

// owned says that a map of the State under construction is no longer shared
// with the State that it came from.
type owned[K comparable, V any] struct{ yes bool }

func (o *owned[K, V]) own(m *map[K]V) map[K]V {
	if !o.yes {
		*m = maps.Clone(*m)
		if *m == nil {
			*m = make(map[K]V)
		}
		o.yes = true
	}
	return *m
}

// fold builds the next State. Maps are copied at their first change only.
type fold struct {
	s          State
	workspaces owned[structs.WorkspaceID, Workspace]
	models     owned[structs.ModelID, Model]
	targets    owned[structs.TargetID, Target]
	services   owned[structs.ServiceID, Service]
	grants     owned[structs.WorkspaceID, Grant]
	hosts      owned[structs.HostID, HostIntent]
	jobs       owned[structs.JobID, JobIntent]
	touched    owned[string, structs.Version]
	outcomes   owned[string, Outcome]
	// holders says which workspace a key hash belongs to; nil until it is needed.
	holders map[string]structs.WorkspaceID
}

// Fold returns the State after entries, which are in log order. Entries up to
// s.Version are skipped, so pages may overlap. The caller makes sure that none
// is missing between s.Version and the first entry. s is not changed.
func (s *State) Fold(entries []structs.LogEntry) *State {
	f := fold{s: *s}
	for _, e := range entries {
		v := structs.Version(e.Offset)
		if v <= f.s.Version {
			continue
		}
		f.s.Version = v
		f.record(e.Body)
	}
	if f.s.Version == s.Version {
		return s
	}
	return &f.s
}

// record folds one record. One that can't be decoded changes nothing but a
// counter: were it to stop the fold, one bad append would freeze the
// configuration of the whole system.
func (f *fold) record(body []byte) {
	var r structs.ConfigRecord
	if err := Decode(body, &r); err != nil || r.Confirm == nil || r.Confirm.Plan == "" {
		f.s.Unreadable++
		return
	}
	f.confirm(r.Confirm)
}

// confirm decides one confirm. The decision uses nothing but the State and the
// record, so every process decides alike.
func (f *fold) confirm(c *structs.Confirm) {
	if _, again := f.s.Outcomes[c.Plan]; again {
		return
	}
	out := f.decide(c)
	if out == nil {
		return
	}
	f.outcomes.own(&f.s.Outcomes)[c.Plan] = *out
	f.forget()
}

func (f *fold) decide(c *structs.Confirm) *Outcome {
	out := &Outcome{Version: f.s.Version, Operator: c.Operator}
	if c.Base < f.s.Forgot {
		// This may be a copy of a confirm whose outcome was forgotten. Were it
		// kept as an outcome, copies could push out the fresh ones.
		return nil
	}
	if c.Base >= f.s.Version {
		out.Err = errs.Newf(errs.Conflict, "plan %.12s was made from version %d, which is not before its confirm", c.Plan, c.Base)
		return out
	}
	if first := f.s.Conflict(c.Base, Objects(c.Intents, c.Touches)); first != nil {
		out.First = first
		out.Err = staleError(first, c.Plan)
		return out
	}
	if out.Err = f.applyAll(c.Intents, c.AtMs); out.Err != nil {
		return out
	}
	touched := f.touched.own(&f.s.Touched)
	for _, i := range c.Intents {
		for _, o := range i.Changes() {
			touched[o] = f.s.Version
		}
	}
	return out
}

// applyAll applies all intents or none. One intent checks before it changes;
// several are tried on a copy first, since a later one may fail.
func (f *fold) applyAll(intents []structs.Intent, atMs int64) *errs.Error {
	if len(intents) == 0 {
		return errs.New(errs.Conflict, "the plan has no intents")
	}
	if len(intents) > 1 {
		trial := fold{s: f.s}
		if err := trial.applyEach(intents, atMs); err != nil {
			return err
		}
	}
	return f.applyEach(intents, atMs)
}

func (f *fold) applyEach(intents []structs.Intent, atMs int64) *errs.Error {
	for _, i := range intents {
		if err := f.apply(i, atMs); err != nil {
			return err
		}
	}
	return nil
}

// Preview returns the State that intents would give, at the same version.
// Error: errs.Conflict with the first intent that does not fit.
func (s *State) Preview(intents []structs.Intent, atMs int64) (*State, error) {
	f := fold{s: *s}
	if err := f.applyAll(intents, atMs); err != nil {
		return nil, err
	}
	return &f.s, nil
}
