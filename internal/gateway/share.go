package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/shed"
)

// Names of the counters of requests of workspaces over their share.
const (
	shareAdmittedMetric = "share.admitted" // sent or queued, because the share is not used up
	shareRejectedMetric = "share.rejected"
)

// applyShare counts the request as work that its workspace offers, and adds the position of the workspace to the
// input of the admission decision.
func (ex *exchange) applyShare(request *shed.Request) {
	if !ex.gw.view.IsSharing() {
		return
	}
	ex.share = ex.gw.view.OfferOnline(ex.work(), request.HigherRanks, request.IsSecondAttempt())
	request.Share = shed.Share{IsDivided: ex.share.IsShared, IsOver: ex.share.IsOverShare, IsAdmitted: ex.share.IsAdmitted, IsSlotFree: ex.share.IsSlotFree}
}

// newQueuedRequest returns the input of the decision on a queued request, and the estimate that it was made from.
func (ex *exchange) newQueuedRequest(initialTimeout time.Duration) (fleet.Estimate, shed.Request) {
	prospect, request := ex.newShedRequest(initialTimeout)
	if ex.share.IsOverShare {
		request.Share = shed.Share{IsDivided: true, IsOver: true, IsAdmitted: true, IsSlotFree: ex.gw.view.HasFreeSlot(ex.work())}
	}
	return prospect, request
}

// noteShare counts the verdict on a request of a workspace over its share, and logs a rejection with the values
// behind it.
func (ex *exchange) noteShare(verdict shed.Verdict) {
	if !ex.share.IsOverShare {
		return
	}
	if verdict == shed.Send || verdict == shed.Queue {
		metrics.GetOrRegisterCounter(shareAdmittedMetric, ex.gw.reg).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter(shareRejectedMetric, ex.gw.reg).Inc(1)
	ex.gw.view.RecordShareRejection(ex.work(), ex.share)
	d := ex.share
	ex.gw.shareLog.Info(time.Now(), "over share", "request", ex.req.ID, "workspace", ex.req.Caller.Workspace, "route", ex.route.Name, "service", ex.service,
		"share", d.Share, "use", d.Use, "offered", d.Offered, "capacity", d.Capacity, "used_up", d.IsUsedUp, "slot_free", d.IsSlotFree, "input_age_ms", d.InputAge.Milliseconds())
}

// overShareError returns the error of a request that is rejected because of the share of its workspace.
func (ex *exchange) overShareError() *errs.Error {
	return errs.Newf(errs.Overloaded, "the workspace requests %.1f slots of the service, its share is %.1f of %.0f", ex.share.Offered, ex.share.Share, ex.share.Capacity)
}
