package fleet

import (
	"time"

	"arbutusramp/core/fairshare"
)

// expireUsage drops the usage of workspaces that a peer has reported.
func (f *Fleet) expireUsage(name Peer) {
	if f.sharing != nil {
		f.sharing.ExpirePeer(string(name))
	}
}

// ownUsage returns the work of workspaces at this gateway, or nil if a report was sent recently.
func (f *Fleet) ownUsage(now time.Time) []fairshare.Usage {
	if f.sharing == nil {
		return nil
	}
	return f.sharing.Report(now)
}
