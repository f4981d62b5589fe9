package slopes

import (
	"context"
	"strconv"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/structs"
)

// measureReconcile measures one comparison of what is confirmed with a fleet that agrees.
func measureReconcile(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		s, err := configOf(0, int(x))
		if err != nil {
			return nil, err
		}
		fleet := agreeing(int(x))
		m := reconcile.New(reconcile.DefaultConfig(), 1)
		now := time.Unix(1, 0)
		orders := 0
		used := cpuEach(func() {
			now = now.Add(time.Second)
			orders += len(m.Step(now, s, fleet))
		})
		if orders > 0 {
			return nil, errs.Newf(errs.Internal, "%d orders for a fleet that agrees", orders)
		}
		return []float64{used}, nil
	}
	return b.measure(ctx, b.few(425, 850, 1700), at, Slope{
		Name: ReconcileCPU, Feeds: "reconciler's owner: processor time of a step (control)", Unit: "us/target", Base: "us", Over: "targets",
		Model: strconv.Itoa(targetModels) + " models, nothing to do",
	})
}

// agreeing is a fleet of n targets that has what configOf(0, n) asks for, spread evenly.
func agreeing(n int) structs.Fleet {
	var f structs.Fleet
	each := max(1, n/targetModels)
	for i := range n {
		t := structs.FleetTarget{
			ID: structs.TargetID("target-" + strconv.Itoa(i)), Host: hostID("side", i), Domain: domainID(i), Live: true,
		}
		if m := i / each; m < targetModels {
			t.Loaded = []structs.Loaded{{Model: modelID(m)}}
		}
		f.Targets = append(f.Targets, t)
	}
	return f
}
