package backlog

import (
	"maps"
	"slices"

	"arbutusramp/core/serving"
)

// overShareTasks returns the tasks whose workspaces have used their share of the capacity of the services that run
// them. It returns nil if capacity is not divided between workspaces or if no task belongs to one.
func (sc *scheduler) overShareTasks(tasks []*task) map[*task]bool {
	if !slices.ContainsFunc(tasks, func(t *task) bool { return t.job.Workspace != "" }) || !sc.m.view.IsSharing() {
		return nil
	}
	serviceOf := sc.serviceFinder()
	waiting := make(map[string]map[string]bool) // workspaces by service
	for _, t := range tasks {
		if service := serviceOf(t); service != "" {
			if waiting[service] == nil {
				waiting[service] = make(map[string]bool)
			}
			waiting[service][t.job.Workspace] = true
		}
	}
	lists := make(map[string][]string, len(waiting))
	for service, workspaces := range waiting {
		lists[service] = slices.Collect(maps.Keys(workspaces))
	}
	overShare := sc.m.view.OverShareAtStart(lists)
	tasksOver := make(map[*task]bool)
	for _, t := range tasks {
		if overShare[serviceOf(t)][t.job.Workspace] {
			tasksOver[t] = true
		}
	}
	return tasksOver
}

// serviceFinder returns a function that returns the service of a task, empty for one without a workspace or a route.
// It looks up one route for each job, because there may be many thousand tasks.
func (sc *scheduler) serviceFinder() func(*task) string {
	routes := make(map[string]*serving.Route) // by job id; nil without a route
	return func(t *task) string {
		if t.job.Workspace == "" {
			return ""
		}
		route, ok := routes[t.job.ID]
		if !ok {
			route, _, _ = sc.m.router.Route(t.job.Host, t.item().URI) // without a route the item does not start
			routes[t.job.ID] = route
		}
		if route == nil {
			return ""
		}
		return route.Service(t.item().ID)
	}
}
