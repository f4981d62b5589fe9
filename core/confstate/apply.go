package confstate

import (
	"encoding/hex"
	"slices"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	// MaxReplicas bounds the replicas of one model.
	MaxReplicas = 20_000
	// maxRevoked bounds the old keys that a workspace remembers.
	maxRevoked = 64
	// keepRemoved is how long a removed target stays known.
	keepRemoved = 7 * 24 * time.Hour
	// maxJobs bounds the operators' decisions on jobs that are kept; the
	// shard that holds a job has long taken over the oldest.
	maxJobs      = 20_000
	keyHashBytes = 32
)

func misfit(i structs.Intent, format string, args ...any) *errs.Error {
	e := errs.Newf(errs.Conflict, format, args...)
	e.Detail = i.Object() + ": " + e.Detail
	return e
}

// apply checks i against the State and changes it. It changes nothing when it
// returns an error.
func (f *fold) apply(i structs.Intent, atMs int64) *errs.Error {
	switch {
	case i.Workspace != nil:
		return f.workspace(i, *i.Workspace)
	case i.Keys != nil:
		return f.keys(i, *i.Keys)
	case i.Grant != nil:
		return f.grant(i, *i.Grant)
	case i.Model != nil:
		return f.model(i, *i.Model)
	case i.RetireModel != nil:
		return f.retireModel(i, i.RetireModel.ID)
	case i.Target != nil:
		return f.target(i, *i.Target, atMs)
	case i.RemoveTarget != nil:
		return f.removeTarget(i, i.RemoveTarget.ID, atMs)
	case i.Service != nil:
		return f.service(i, *i.Service)
	case i.Job != nil:
		return f.job(i, *i.Job)
	case i.Host != nil:
		return f.host(i, *i.Host, atMs)
	case i.Policy != nil:
		return f.policy(i, *i.Policy)
	}
	return errs.New(errs.Conflict, "an intent of a kind that this version does not know")
}

func (f *fold) workspace(i structs.Intent, in structs.WorkspaceIntent) *errs.Error {
	if in.ID == "" {
		return misfit(i, "it has no name")
	}
	w := f.s.Workspaces[in.ID]
	w.ID = in.ID
	set(&w.RequestsPerS, in.RequestsPerS)
	set(&w.Burst, in.Burst)
	set(&w.MaxInFlight, in.MaxInFlight)
	set(&w.Weight, in.Weight)
	if w.RequestsPerS < 0 || w.Burst < 0 || w.MaxInFlight < 0 || w.Weight < 0 {
		return misfit(i, "limits and weight are 0 or more")
	}
	if err := f.addKeys(i, &w, in.KeyHashes); err != nil {
		return err
	}
	f.putWorkspace(w)
	return nil
}

func set[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

// addKeys adds hashes to w. A key that two workspaces share would let one act
// as the other, and a revoked key that comes back would undo its revocation.
func (f *fold) addKeys(i structs.Intent, w *Workspace, hashes []string) *errs.Error {
	keys := slices.Clone(w.KeyHashes)
	for _, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != keyHashBytes {
			return misfit(i, "key hash %.12q is not a SHA-256 sum in hex", h)
		}
		if slices.Contains(w.RevokedHashes, h) {
			return misfit(i, "key %.12s was revoked; make a new one", h)
		}
		if other, taken := f.keyHolder(h); taken && other != w.ID {
			return misfit(i, "key %.12s belongs to another workspace", h)
		}
		if !slices.Contains(keys, h) {
			keys = append(keys, h)
		}
	}
	w.KeyHashes = keys
	return nil
}

// keyHolder returns the workspace that a key belongs or belonged to. Documents add
// hundreds of keys at once, so the holders are indexed at the first question.
func (f *fold) keyHolder(hash string) (structs.WorkspaceID, bool) {
	if f.holders == nil {
		f.holders = make(map[string]structs.WorkspaceID, 2*len(f.s.Workspaces))
		for _, w := range f.s.Workspaces {
			f.hold(w)
		}
	}
	id, ok := f.holders[hash]
	return id, ok
}

func (f *fold) hold(w Workspace) {
	for _, h := range w.KeyHashes {
		f.holders[h] = w.ID
	}
	for _, h := range w.RevokedHashes {
		f.holders[h] = w.ID
	}
}

// putWorkspace stores w and keeps the index of its keys as a new one would be.
func (f *fold) putWorkspace(w Workspace) {
	before := f.s.Workspaces[w.ID]
	f.workspaces.own(&f.s.Workspaces)[w.ID] = w
	if f.holders == nil {
		return
	}
	for _, h := range before.KeyHashes {
		delete(f.holders, h)
	}
	for _, h := range before.RevokedHashes {
		delete(f.holders, h)
	}
	f.hold(w)
}

func (f *fold) keys(i structs.Intent, in structs.KeysIntent) *errs.Error {
	w, ok := f.s.Workspaces[in.Workspace]
	if !ok {
		return misfit(i, "there is no such workspace")
	}
	if err := f.addKeys(i, &w, in.Add); err != nil {
		return err
	}
	revoked := slices.Clone(w.RevokedHashes)
	for _, h := range in.Revoke {
		at := slices.Index(w.KeyHashes, h)
		if at < 0 {
			return misfit(i, "key %.12s is not one of its valid keys", h)
		}
		w.KeyHashes = slices.Delete(slices.Clone(w.KeyHashes), at, at+1)
		revoked = append(revoked, h)
	}
	w.RevokedHashes = revoked[max(0, len(revoked)-maxRevoked):]
	f.putWorkspace(w)
	return nil
}

func (f *fold) grant(i structs.Intent, in structs.GrantIntent) *errs.Error {
	if _, ok := f.s.Workspaces[in.Workspace]; !ok {
		return misfit(i, "there is no such workspace")
	}
	if in.Withdraw {
		if _, ok := f.s.Grants[in.Workspace]; !ok {
			return misfit(i, "there is no grant to withdraw")
		}
		delete(f.grants.own(&f.s.Grants), in.Workspace)
		return nil
	}
	if in.MaxItems <= 0 || in.DueWithinS < 0 {
		return misfit(i, "max_items is 1 or more and due_within 0 or more")
	}
	for _, m := range in.Models {
		if have, ok := f.s.Models[m]; !ok || have.Retired {
			return misfit(i, "model %s is not served", m)
		}
	}
	f.grants.own(&f.s.Grants)[in.Workspace] = Grant{
		Workspace:  in.Workspace,
		MaxItems:   in.MaxItems,
		Models:     in.Models,
		DueWithinS: in.DueWithinS,
	}
	return nil
}

func (f *fold) model(i structs.Intent, in structs.ModelIntent) *errs.Error {
	if in.ID == "" {
		return misfit(i, "it has no name")
	}
	m, known := f.s.Models[in.ID]
	if !known || m.Retired {
		m = Model{ID: in.ID, Replicas: 1, SpreadDomains: 1}
	}
	set(&m.Version, in.Version)
	set(&m.Replicas, in.Replicas)
	set(&m.SpreadDomains, in.SpreadDomains)
	if in.SetAdapters {
		m.Adapters = in.Adapters
	}
	if m.Replicas < 1 || m.Replicas > MaxReplicas {
		return misfit(i, "replicas is from 1 to %d; use retire-model to stop serving it", MaxReplicas)
	}
	if m.SpreadDomains < 1 || m.SpreadDomains > m.Replicas {
		return misfit(i, "spread_domains is from 1 to the number of replicas (%d)", m.Replicas)
	}
	f.models.own(&f.s.Models)[m.ID] = m
	return nil
}

func (f *fold) retireModel(i structs.Intent, id structs.ModelID) *errs.Error {
	m, ok := f.s.Models[id]
	if !ok || m.Retired {
		return misfit(i, "it is not served")
	}
	m.Retired = true
	f.models.own(&f.s.Models)[id] = m
	return nil
}

func (f *fold) service(i structs.Intent, in structs.ServiceIntent) *errs.Error {
	if in.ID == "" {
		return misfit(i, "it has no name")
	}
	if in.TimeoutMs < 0 {
		return misfit(i, "timeout is 0 or more")
	}
	f.services.own(&f.s.Services)[in.ID] = Service{
		ID:            in.ID,
		NonIdempotent: in.NonIdempotent,
		TimeoutMs:     in.TimeoutMs,
	}
	return nil
}

// job keeps a cancel final: a run that is confirmed after it does not hold.
func (f *fold) job(i structs.Intent, in structs.JobOrder) *errs.Error {
	if in.ID == "" {
		return misfit(i, "it has no name")
	}
	if in.Run == in.Cancel {
		return misfit(i, "it is either run or cancelled")
	}
	have := f.s.Jobs[in.ID]
	if have.Cancel && in.Run {
		return misfit(i, "it is cancelled; submit it again under a new key")
	}
	jobs := f.jobs.own(&f.s.Jobs)
	jobs[in.ID] = JobIntent{
		ID:     in.ID,
		Run:    in.Run || have.Run,
		Cancel: in.Cancel,
		At:     f.s.Version,
	}
	if len(jobs) > maxJobs {
		delete(jobs, oldestJob(jobs))
	}
	return nil
}

func oldestJob(jobs map[structs.JobID]JobIntent) structs.JobID {
	var oldest JobIntent
	for _, j := range jobs {
		if oldest.ID == "" || j.At < oldest.At || j.At == oldest.At && j.ID < oldest.ID {
			oldest = j
		}
	}
	return oldest.ID
}

func (f *fold) host(i structs.Intent, in structs.HostOrder, atMs int64) *errs.Error {
	if in.ID == "" {
		return misfit(i, "it has no name")
	}
	have := f.s.Hosts[in.ID]
	if have.Retire == in.Retire {
		if in.Retire {
			return misfit(i, "it is retired already")
		}
		return misfit(i, "it is not retired")
	}
	hosts := f.hosts.own(&f.s.Hosts)
	if !in.Retire {
		f.returnServices(have, atMs)
		delete(hosts, in.ID)
		return nil
	}
	hosts[in.ID] = HostIntent{ID: in.ID, Retire: true, At: f.s.Version}
	f.retireServices(in.ID, atMs)
	return nil
}

func (f *fold) policy(i structs.Intent, in structs.PolicyIntent) *errs.Error {
	if !(in.Headroom >= 0 && in.Headroom <= 1) {
		return misfit(i, "headroom is from 0 to 1")
	}
	f.s.Policy.Headroom = in.Headroom
	return nil
}
