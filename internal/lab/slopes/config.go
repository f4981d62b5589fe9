package slopes

import (
	"context"
	"fmt"
	"strconv"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// Of the configuration at the target size.
const (
	targetWorkspaces = 7900
	targetTargets    = 1700
	targetModels     = 14
)

// configOf returns a configuration with so many workspaces (one key, limits and a grant each)
// and engines, over the target size's models.
func configOf(workspaces, targets int) (*confstate.State, error) {
	b := configBuilder{state: confstate.Empty()}
	for i := range targetModels {
		replicas := max(1, targets/targetModels)
		b.add(structs.Intent{Model: &structs.ModelIntent{ID: modelID(i), Replicas: &replicas}})
	}
	for i := range workspaces {
		b.add(workspaceIntent(i, 0), grantIntent(i))
	}
	for i := range targets {
		b.add(structs.Intent{Target: &structs.TargetIntent{
			ID: structs.TargetID("target-" + strconv.Itoa(i)), Kind: structs.KindEngine, Host: hostID("side", i),
		}})
	}
	return b.finish()
}

func modelID(i int) structs.ModelID { return structs.ModelID("model-" + strconv.Itoa(i)) }

func hostID(role string, i int) structs.HostID {
	return structs.HostID(role + "-" + strconv.Itoa(i) + ".domain-" + strconv.Itoa(i%targetDomains))
}

func workspaceID(i int) structs.WorkspaceID {
	return structs.WorkspaceID("workspace-" + strconv.Itoa(i))
}

// workspaceIntent is the n-th change of a workspace.
func workspaceIntent(i, n int) structs.Intent {
	rate, burst, inFlight := float64(10+n%10), 20, 100
	w := &structs.WorkspaceIntent{ID: workspaceID(i), RequestsPerS: &rate, Burst: &burst, MaxInFlight: &inFlight}
	if n == 0 {
		w.KeyHashes = []string{settings.KeySum(fmt.Sprint("key-", i))}
	}
	return structs.Intent{Workspace: w}
}

func grantIntent(i int) structs.Intent {
	return structs.Intent{Grant: &structs.GrantIntent{
		Workspace: workspaceID(i), MaxItems: 660_000, Models: []structs.ModelID{modelID(i % targetModels)}, DueWithinS: 86_400,
	}}
}

// configBuilder folds one large confirm, and is the writer of those after it.
type configBuilder struct {
	state   *confstate.State
	intents []structs.Intent
}

func (b *configBuilder) add(i ...structs.Intent) { b.intents = append(b.intents, i...) }

func (b *configBuilder) finish() (*confstate.State, error) {
	e, err := confirmEntry(b.state.Version, "start", b.intents...)
	if err != nil {
		return nil, err
	}
	next := b.state.Fold([]structs.LogEntry{e})
	if o := next.Outcomes["start"]; o.Err != nil {
		return nil, o.Err
	}
	return next, nil
}

// confirmEntry returns the log entry after version base that confirms intents.
func confirmEntry(base structs.Version, plan string, intents ...structs.Intent) (structs.LogEntry, error) {
	body, err := confstate.EncodeConfirm(&structs.Confirm{
		Plan: plan, Base: base, Operator: "operator-1", Intents: intents, AtMs: 1,
	})
	return structs.LogEntry{Offset: structs.Offset(base + 1), Body: body}, err
}

// measureConfig measures the configuration: one change, its record, and the state.
func measureConfig(ctx context.Context, b *bench) error {
	if err := b.measureChange(ctx); err != nil {
		return err
	}
	if err := b.measureOnce(ctx, b.few(1, 2, 4, 8), recordSize, Slope{
		Name: ConfigRecordSize, Feeds: "configuration: bytes of a change", Unit: "B/intent", Base: "B/change",
		Over: "intents of one change", Model: "a workspace's limits each",
	}); err != nil {
		return err
	}
	state := func(build func(int) (*confstate.State, error)) sample {
		return func(x float64) ([]float64, error) {
			return sizeOfConfig(func() (*confstate.State, error) { return build(int(x)) })
		}
	}
	workspaces := state(func(n int) (*confstate.State, error) { return configOf(n, 0) })
	err := b.measure(ctx, b.few(1000, 4000, 8000), workspaces,
		Slope{Name: WorkspaceState, Feeds: "configuration: snapshot", Unit: "B/workspace", Base: "B", Over: "workspaces",
			Model: "one key, limits and a grant each"},
		Slope{Name: WorkspaceMemory, Feeds: "configuration: memory", Unit: "B/workspace", Base: "B", Over: "workspaces"},
		Slope{Name: ConfigRestoreCPU, Feeds: "configuration: start of a process", Unit: "us/workspace", Base: "us", Over: "workspaces"})
	if err != nil {
		return err
	}
	targets := state(func(n int) (*confstate.State, error) { return configOf(0, n) })
	return b.measure(ctx, b.few(425, 850, 1700), targets,
		Slope{Name: TargetState, Feeds: "configuration: snapshot", Unit: "B/target", Base: "B", Over: "registered targets"},
		Slope{Name: TargetMemory, Feeds: "configuration: memory", Unit: "B/target", Base: "B", Over: "registered targets"},
		Slope{Name: TargetRestoreCPU, Feeds: "configuration: start of a process", Unit: "us/target", Base: "us", Over: "registered targets"})
}

// sizeOfConfig returns the bytes of a state's snapshot, what it takes in memory and the processor
// time that its restore takes.
func sizeOfConfig(build func() (*confstate.State, error)) ([]float64, error) {
	s, err := build()
	if err != nil {
		return nil, err
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	live, err := liveOf(func() (any, error) { return confstate.Restore(snapshot) })
	if err != nil {
		return nil, err
	}
	settle()
	used := cpuDuring(func() { _, err = confstate.Restore(snapshot) })
	return []float64{float64(len(snapshot)), live, used}, err
}

// measureChange measures one change of a workspace's limits against the number of workspaces.
func (b *bench) measureChange(ctx context.Context) error {
	at := func(x float64) ([]float64, error) {
		s, err := configOf(int(x), targetTargets)
		if err != nil {
			return nil, err
		}
		n := 0
		used := cpuEach(func() {
			n++
			var e structs.LogEntry
			if e, err = confirmEntry(s.Version, "plan-"+strconv.Itoa(n), workspaceIntent(n%int(x), n)); err != nil {
				return
			}
			s = s.Fold([]structs.LogEntry{e})
		})
		if err == nil && s.Outcomes["plan-"+strconv.Itoa(n)].Err != nil {
			err = errs.Newf(errs.Internal, "change %d did not hold", n)
		}
		return []float64{used}, err
	}
	return b.measure(ctx, b.few(1000, 4000, 8000), at,
		Slope{Name: ConfigFoldCPU, Feeds: "configuration: processor time of a change", Unit: "us/workspace", Base: "us", Over: "workspaces",
			Model: fmt.Sprintf("encode and fold of one change, %d targets registered", targetTargets)})
}

// recordSize returns the bytes of a confirm of x changed workspaces.
func recordSize(x float64) ([]float64, error) {
	var intents []structs.Intent
	for i := range int(x) {
		intents = append(intents, workspaceIntent(i, 1))
	}
	e, err := confirmEntry(1, settings.KeySum("plan"), intents...)
	return []float64{float64(len(e.Body))}, err
}
