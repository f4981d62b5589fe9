package gateway

import (
	"time"

	"arbutusramp/core/errs"
)

// takeQuota takes one request from the quota of the caller's workspace. A caller without a workspace is not
// limited by a quota. Error: errs.RateLimited.
func (ex *exchange) takeQuota() error {
	workspaceID := ex.req.Caller.Workspace
	if workspaceID == "" {
		return nil
	}
	decision := ex.gw.quotas.Admit(workspaceID)
	if decision.IsAdmitted {
		ex.hasTakenQuota, ex.isNearQuota = true, decision.IsNearLimit
		return nil
	}
	ex.gw.shedLog.Info(time.Now(), "quota", "request", ex.req.ID, "workspace", workspaceID, "verdict", "reject", "tokens", decision.Tokens,
		"share", decision.Share, "retry_after_ms", decision.RetryAfter.Milliseconds())
	return errs.New(errs.RateLimited, "the workspace exceeds its request quota").WithRetry(decision.RetryAfter)
}

// recheckKey authorizes the request again before it is sent to a target, because the caller's API key may have
// been revoked while the request was queued. A request that a target may already have run is not checked
// again: its caller was authorized on arrival.
func (ex *exchange) recheckKey() error {
	if ex.possibleRuns > 0 || !ex.req.Credential.IsSet {
		return nil
	}
	_, err := ex.gw.access.Authorize(ex.route, ex.req.Credential)
	return err
}
