package fleetview

import (
	"time"

	"arbutusramp/core/fleet"
)

// Scheduling returns what this process knows of targets, services and workspaces. The parts are read one after the
// other, so that the lock is not held for long with many workspaces; requests can begin or end in between.
func (v *View) Scheduling() fleet.Scheduling {
	var s fleet.Scheduling
	v.locked(func(now time.Time) { s.Targets, s.TargetsLeftOut = v.fleet.TargetStates(now) })
	v.locked(func(now time.Time) { s.Services, s.ServicesLeftOut = v.fleet.ServiceStates(now) })
	for i := range s.Services {
		service := &s.Services[i]
		v.locked(func(now time.Time) {
			service.Workspaces, service.WorkspacesLeftOut = v.fleet.WorkspaceStates(now, service.Service)
		})
	}
	return s
}

// OverloadedServices is the number of services whose batch starts are suspended because of an overload.
func (v *View) OverloadedServices() (n int) {
	v.locked(func(now time.Time) { n = v.fleet.OverloadedServices(now) })
	return n
}

// SlowTargets is the number of targets whose work takes at least twice as long as usual for their service.
func (v *View) SlowTargets() (n int) {
	v.locked(func(now time.Time) { n = v.fleet.SlowTargets(now) })
	return n
}

// locked calls read with the lock held.
func (v *View) locked(read func(now time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	read(time.Now())
}
