package dev

import (
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

const (
	maxJobItems  = 10000
	jobDueWithin = 24 * 60 * 60 // seconds
)

// firstIntents are what an operator of a new system declares: a workspace that may
// run jobs, a model, a service and the targets of both.
func firstIntents() []structs.Intent {
	replicas, spread := domains, domains
	intents := []structs.Intent{
		{Workspace: &structs.WorkspaceIntent{ID: workspace, KeyHashes: []string{settings.KeySum(WorkspaceKey)}}},
		{Service: &structs.ServiceIntent{ID: serviceName, NonIdempotent: []string{"POST"}}},
	}
	for i := range domains {
		intents = append(intents,
			structs.Intent{Target: &structs.TargetIntent{
				ID:   structs.TargetID(numbered("engine", i)),
				Kind: structs.KindEngine,
				Host: structs.HostID(numbered("side-engine", i)),
			}},
			structs.Intent{Target: &structs.TargetIntent{
				ID:      structs.TargetID(numbered("service", i)),
				Kind:    structs.KindService,
				Host:    structs.HostID(numbered("side-service", i)),
				Service: serviceName,
			}})
	}
	return append(intents,
		structs.Intent{Model: &structs.ModelIntent{ID: model, Replicas: &replicas, SpreadDomains: &spread}},
		structs.Intent{Grant: &structs.GrantIntent{
			Workspace:  workspace,
			MaxItems:   maxJobItems,
			Models:     []structs.ModelID{model},
			DueWithinS: jobDueWithin,
		}},
	)
}
