package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/origin"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// Names of the metrics of resumed streams.
const (
	// resumedMetric counts the requests that resume a stream. With the name of an origin.Source appended it counts them
	// by where the origin of the stream was known from.
	resumedMetric     = "streams.resumed"
	versionGoneMetric = "streams.version_gone" // resumed streams of whose version no target was left
)

// isResumption reports whether the caller resumes a stream that an earlier request has begun.
func (ex *exchange) isResumption() bool {
	return ex.route.Kind == serving.KindStream && ex.req.ResumeAfter != ""
}

// findOrigin finds out which software began the stream that the caller resumes, so that it goes on there. Errors:
// errs.StreamUnknown if that is not known for certain, errs.VersionGone if it does not serve any more. The request is
// then rejected at once: at any other version its events would not fit those that the caller has.
func (ex *exchange) findOrigin(ctx context.Context) error {
	began := time.Now()
	o, source, ok := serving.Origin{}, origin.SourceNone, false
	if ex.req.Resumes != "" {
		o, source, ok = ex.gw.origins.Find(ctx, origin.NewKey(ex.req.Caller.Workspace, ex.req.Resumes))
	}
	if source == origin.SourceNone {
		if o, ok = ex.gw.versions.OnlyOrigin(ctx, ex.route); ok {
			source = origin.SourceOnly
		}
	}
	metrics.GetOrRegisterCounter(resumedMetric, ex.gw.reg).Inc(1)
	metrics.GetOrRegisterCounter(resumedMetric+"."+string(source), ex.gw.reg).Inc(1)
	now := time.Now()
	ex.gw.resumeLog.Info(now, "stream resumed", "request", ex.req.ID, "resumes", ex.req.Resumes, "after_event", ex.req.ResumeAfter,
		"source", string(source), "service", o.Service, "version", o.Version, "ms", now.Sub(began).Milliseconds())
	if !ok {
		return errs.Newf(errs.StreamUnknown, "no gateway that was asked knows which version began the stream of request %q", ex.req.Resumes)
	}
	return ex.continueAt(o)
}

// continueAt makes the exchange go on at the software that began its stream. Error: errs.VersionGone if the route does
// not lead to its service any more, or no target of its version is left.
func (ex *exchange) continueAt(o serving.Origin) error {
	ex.service, ex.origin = o.Service, &o
	if ex.route.LeadsTo(o.Service) && ex.gw.view.IsServed(ex.work()) {
		return nil
	}
	return ex.versionGoneError()
}

// verifyStart checks, if a stream goes on at a target, that the start of the target that the list names still runs. A
// target with a start time may start again under its name with another version, and the list tells that later. Other
// names are not used again. Error: errs.TargetFailed, not run.
func (ex *exchange) verifyStart(ctx context.Context, t serving.Target) error {
	if ex.origin == nil || t.StartedMs == 0 || ex.gw.prober.Probe(ctx, t) == platform.ProbeAlive {
		return nil
	}
	return errs.Newf(errs.TargetFailed, "it is not known whether target %s has started again", t.ID).WithRan(errs.RanNo)
}

// versionGoneError returns the error of a stream that can't go on because no other target of its version is left.
func (ex *exchange) versionGoneError() error {
	metrics.GetOrRegisterCounter(versionGoneMetric, ex.gw.reg).Inc(1)
	return errs.Newf(errs.VersionGone, "the stream began at version %q of service %s, of which no other target is available on this route after %d were tried",
		ex.origin.Version, ex.origin.Service, len(ex.tried))
}

// noteOrigin records that an event of this attempt is about to be sent to the caller. The first event of a stream
// determines its origin. The origin is announced before the caller has the event, so that the caller can resume the
// stream at another gateway, and again at intervals, since the peers that keep it may stop. If the entry of the target
// changes its version while it serves the stream, the origin becomes uncertain: the answer goes on, since it comes from
// one process, but no other target does.
func (a *attempt) noteOrigin(now time.Time) {
	if a.origin == nil {
		a.origin = &serving.Origin{Service: a.run.Target.Service, Version: a.run.Target.Version}
	}
	a.noteVersionChange()
	if a.announcedAt.IsZero() || now.Sub(a.announcedAt) >= origin.AnnounceInterval {
		a.announceOrigin(now)
	}
}

// noteVersionChange makes the origin uncertain if the entry of the target has got another version during this attempt.
func (a *attempt) noteVersionChange() {
	if !a.hasRelayed || a.isOriginUncertain || !a.run.HasVersionChanged() {
		return
	}
	a.isOriginUncertain = true
	a.gw.log.Warn("origin of stream uncertain", "request", a.req.ID, "target", a.run.Target.ID, "version", a.run.Target.Version, "why", "the entry of the target has got another version")
	a.announceOrigin(time.Now())
}

// announceOrigin announces the origin under all ids by which the caller may name the stream. Streams of routes that are
// not resumable need no announcement.
func (a *attempt) announceOrigin(now time.Time) {
	a.announcedAt = now
	if !a.route.IsResumable {
		return
	}
	for _, id := range a.streamIDs() {
		a.gw.origins.Announce(origin.Record{Key: origin.NewKey(a.req.Caller.Workspace, id), Origin: *a.origin, IsUncertain: a.isOriginUncertain})
	}
}

// streamIDs returns the request ids by which a caller may name the stream: this one, and the one that began it.
func (ex *exchange) streamIDs() []string {
	if ex.req.Resumes == "" || !ex.isResumption() {
		return []string{ex.req.ID}
	}
	return []string{ex.req.ID, ex.req.Resumes}
}
