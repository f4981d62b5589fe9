package dev

import (
	"fmt"
	"strings"
)

// firstIntents is what an operator of a new system declares, as a document for
// arbutusctl plan: a workspace that may run jobs, a model, a service and the targets of both.
func firstIntents() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[workspace %s]\nkeys = %s\n", workspace, WorkspaceKey)
	fmt.Fprintf(&b, "[grant %s]\nmax_items = 10000\nmodels = %s\n", workspace, model)
	fmt.Fprintf(&b, "[service %s]\nnon_idempotent = POST\n", serviceName)
	for i := range domains {
		fmt.Fprintf(&b, "[target %s]\ntype = engine\nhost = %s\nchecks_fence = false\n",
			numbered("engine", i), numbered("side-engine", i))
		fmt.Fprintf(&b, "[target %s]\ntype = service\nhost = %s\nservice = %s\nchecks_fence = false\n",
			numbered("service", i), numbered("side-service", i), serviceName)
	}
	fmt.Fprintf(&b, "[model %s]\nreplicas = %d\nspread_domains = %d\n", model, domains, domains)
	return b.String()
}
