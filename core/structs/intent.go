package structs

import "strconv"

// ConfigStream is the configuration stream at the log service.
const ConfigStream = "config"

// ConfigSnapshotStream holds snapshots of the configuration.
const ConfigSnapshotStream = "config-snapshots"

// QuarantineStream holds what entries tell each other of requests under which targets have ended.
const QuarantineStream = "quarantine"

// PlacementStream holds the claims of the reconciler's owner.
const PlacementStream = "placement"

// Intent is one thing that an operator wants. Exactly one field is set. A nil
// pointer inside leaves the present value as it is.
type Intent struct {
	Workspace    *WorkspaceIntent    `cbor:"1,keyasint,omitempty" json:"workspace,omitempty"`
	Keys         *KeysIntent         `cbor:"2,keyasint,omitempty" json:"keys,omitempty"`
	Grant        *GrantIntent        `cbor:"3,keyasint,omitempty" json:"grant,omitempty"`
	Model        *ModelIntent        `cbor:"4,keyasint,omitempty" json:"model,omitempty"`
	RetireModel  *RetireModelIntent  `cbor:"5,keyasint,omitempty" json:"retire_model,omitempty"`
	Target       *TargetIntent       `cbor:"6,keyasint,omitempty" json:"target,omitempty"`
	RemoveTarget *RemoveTargetIntent `cbor:"7,keyasint,omitempty" json:"remove_target,omitempty"`
	Service      *ServiceIntent      `cbor:"8,keyasint,omitempty" json:"service,omitempty"`
	Job          *JobOrder           `cbor:"9,keyasint,omitempty" json:"job,omitempty"`
	Host         *HostOrder          `cbor:"10,keyasint,omitempty" json:"host,omitempty"`
	Policy       *PolicyIntent       `cbor:"11,keyasint,omitempty" json:"policy,omitempty"`
}

// WorkspaceIntent creates a workspace or changes its limits; its keys are added.
type WorkspaceIntent struct {
	ID           WorkspaceID `cbor:"1,keyasint" json:"id"`
	KeyHashes    []string    `cbor:"2,keyasint,omitempty" json:"key_hashes,omitempty"`
	RequestsPerS *float64    `cbor:"3,keyasint,omitempty" json:"requests_per_s,omitempty"`
	Burst        *int        `cbor:"4,keyasint,omitempty" json:"burst,omitempty"`
	MaxInFlight  *int        `cbor:"5,keyasint,omitempty" json:"max_in_flight,omitempty"`
	Weight       *int        `cbor:"6,keyasint,omitempty" json:"weight,omitempty"`
}

// KeysIntent adds and revokes keys of a workspace, for rotation.
type KeysIntent struct {
	Workspace WorkspaceID `cbor:"1,keyasint" json:"workspace"`
	Add       []string    `cbor:"2,keyasint,omitempty" json:"add,omitempty"`
	Revoke    []string    `cbor:"3,keyasint,omitempty" json:"revoke,omitempty"`
}

// GrantIntent sets or withdraws the standing grant of a workspace.
type GrantIntent struct {
	Workspace  WorkspaceID `cbor:"1,keyasint" json:"workspace"`
	MaxItems   int         `cbor:"2,keyasint,omitempty" json:"max_items,omitempty"`
	Models     []ModelID   `cbor:"3,keyasint,omitempty" json:"models,omitempty"`
	DueWithinS int64       `cbor:"4,keyasint,omitempty" json:"due_within_s,omitempty"`
	Withdraw   bool        `cbor:"5,keyasint,omitempty" json:"withdraw,omitempty"`
}

// ModelIntent serves a model.
type ModelIntent struct {
	ID            ModelID  `cbor:"1,keyasint" json:"id"`
	Version       *string  `cbor:"2,keyasint,omitempty" json:"version,omitempty"`
	Adapters      []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	SetAdapters   bool     `cbor:"4,keyasint,omitempty" json:"set_adapters,omitempty"`
	Replicas      *int     `cbor:"5,keyasint,omitempty" json:"replicas,omitempty"`
	SpreadDomains *int     `cbor:"6,keyasint,omitempty" json:"spread_domains,omitempty"`
}

// RetireModelIntent stops serving a model.
type RetireModelIntent struct {
	ID ModelID `cbor:"1,keyasint" json:"id"`
}

// TargetIntent registers a target.
type TargetIntent struct {
	ID          TargetID   `cbor:"1,keyasint" json:"id"`
	Kind        TargetKind `cbor:"2,keyasint" json:"kind"`
	Host        HostID     `cbor:"3,keyasint" json:"host"`
	Service     ServiceID  `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	ChecksFence bool       `cbor:"5,keyasint,omitempty" json:"checks_fence,omitempty"`
}

// RemoveTargetIntent removes a target.
type RemoveTargetIntent struct {
	ID TargetID `cbor:"1,keyasint" json:"id"`
}

// ServiceIntent describes a plain service.
type ServiceIntent struct {
	ID            ServiceID `cbor:"1,keyasint" json:"id"`
	NonIdempotent []string  `cbor:"2,keyasint,omitempty" json:"non_idempotent,omitempty"`
	TimeoutMs     int64     `cbor:"3,keyasint,omitempty" json:"timeout_ms,omitempty"`
}

// JobOrder runs or cancels a job.
type JobOrder struct {
	ID     JobID `cbor:"1,keyasint" json:"id"`
	Run    bool  `cbor:"2,keyasint,omitempty" json:"run,omitempty"`
	Cancel bool  `cbor:"3,keyasint,omitempty" json:"cancel,omitempty"`
}

// HostOrder retires a host or takes it back into service.
type HostOrder struct {
	ID     HostID `cbor:"1,keyasint" json:"id"`
	Retire bool   `cbor:"2,keyasint,omitempty" json:"retire,omitempty"`
}

// PolicyIntent sets the policy between online latency and batch throughput.
type PolicyIntent struct {
	// Headroom runs from 0 (most batch throughput) to 1 (least harm to the online tail).
	Headroom float64 `cbor:"1,keyasint" json:"headroom"`
}

// FleetObject stands for the capacity of the whole fleet. Intents that take
// capacity away, or that were planned against it, conflict over it.
const FleetObject = "fleet"

// Object names what i changes, and Kind/name is its form ("model/m7").
func (i Intent) Object() string {
	switch {
	case i.Workspace != nil:
		return "workspace/" + string(i.Workspace.ID)
	case i.Keys != nil:
		return "workspace/" + string(i.Keys.Workspace)
	case i.Grant != nil:
		return "grant/" + string(i.Grant.Workspace)
	case i.Model != nil:
		return "model/" + string(i.Model.ID)
	case i.RetireModel != nil:
		return "model/" + string(i.RetireModel.ID)
	case i.Target != nil:
		return "target/" + string(i.Target.ID)
	case i.RemoveTarget != nil:
		return "target/" + string(i.RemoveTarget.ID)
	case i.Service != nil:
		return "service/" + string(i.Service.ID)
	case i.Job != nil:
		return "job/" + string(i.Job.ID)
	case i.Host != nil:
		return "host/" + string(i.Host.ID)
	case i.Policy != nil:
		return "policy"
	}
	return ""
}

// Depends names the objects besides Object that must not have changed
// since i was planned.
func (i Intent) Depends() []string {
	switch {
	case i.Grant != nil:
		return []string{"workspace/" + string(i.Grant.Workspace)}
	case i.Model != nil:
		return []string{FleetObject}
	case i.Target != nil:
		d := []string{"host/" + string(i.Target.Host)}
		if i.Target.Service != "" {
			d = append(d, "service/"+string(i.Target.Service))
		}
		return d
	case i.takesCapacity():
		return []string{FleetObject}
	}
	return nil
}

// Changes names every object that a confirmed i marks as changed.
func (i Intent) Changes() []string {
	if i.takesCapacity() {
		return []string{i.Object(), FleetObject}
	}
	return []string{i.Object()}
}

func (i Intent) takesCapacity() bool {
	return i.RemoveTarget != nil || i.Host != nil && i.Host.Retire
}

// Confirm is the record in the configuration stream by which an operator's
// plan takes effect, if the fold lets it.
type Confirm struct {
	// Plan is the plan's id: a copy of the record with the same id is the same confirm.
	Plan     string   `cbor:"1,keyasint"`
	Base     Version  `cbor:"2,keyasint"`
	Operator string   `cbor:"3,keyasint"`
	Intents  []Intent `cbor:"4,keyasint"`
	// Touches are objects besides those of the intents that the plan relied on.
	Touches []string `cbor:"5,keyasint,omitempty"`
	// AtMs is the confirming entry's clock (milliseconds since 1970). No
	// decision between confirms rests on it.
	AtMs int64 `cbor:"6,keyasint,omitempty"`
}

// ConfigRecord is one record of the configuration stream.
type ConfigRecord struct {
	Confirm *Confirm `cbor:"1,keyasint,omitempty"`
}

// ConfigSnapshotPart is one part of a snapshot of the configuration.
type ConfigSnapshotPart struct {
	Version Version `cbor:"1,keyasint"`
	Writer  HostID  `cbor:"2,keyasint"`
	Part    int     `cbor:"3,keyasint"` // from 0
	Parts   int     `cbor:"4,keyasint"`
	Sum     uint64  `cbor:"5,keyasint"` // xxhash of the whole snapshot
	Body    []byte  `cbor:"6,keyasint"`
	AtMs    int64   `cbor:"7,keyasint,omitempty"`
}

// String names the target kind as intents write it.
func (k TargetKind) String() string {
	switch k {
	case KindEngine:
		return "engine"
	case KindService:
		return "service"
	}
	return "kind " + strconv.Itoa(int(k))
}
