package overhead

import (
	"context"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/service"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

const (
	embeddedKey     = "overhead-key"
	embeddedService = structs.ServiceID("echo")
	embeddedSide    = structs.HostID("side-1")
	loopback        = "127.0.0.1:0"
	readyTimeout    = 10 * time.Second
	readyPoll       = 20 * time.Millisecond
	embeddedDrain   = 2 * time.Second
)

// RunEmbedded measures an entry, a side and a plain service that answers at once, all
// in this process. The processor time of the load is then that of all of them together.
func RunEmbedded(ctx context.Context, o Options) (*Report, error) {
	ctx, stop := context.WithCancel(ctx)
	var report *Report
	err := withStandins(func(log *logsvc.Server, hosts *hostlist.Server, svc *service.Server) error {
		g, ctx := errgroup.WithContext(ctx)
		defer g.Wait() // its error is that of a stop
		defer stop()
		callers, err := startEmbedded(ctx, g, log, hosts, svc)
		if err != nil {
			return err
		}
		o.Direct = svc.URL() + "/echo"
		o.Through = "http://" + callers + "/svc/" + string(embeddedService) + "/echo"
		o.Key = embeddedKey
		if err := awaitReady(ctx, o); err != nil {
			return err
		}
		report, err = Run(ctx, o)
		return err
	})
	return report, err
}

func withStandins(use func(*logsvc.Server, *hostlist.Server, *service.Server) error) error {
	log, err := logsvc.Start(loopback, logsvc.Options{})
	if err != nil {
		return err
	}
	defer log.Close()
	hosts, err := hostlist.Start(loopback, hostlist.Options{})
	if err != nil {
		return err
	}
	defer hosts.Close()
	svc, err := service.Start(loopback, service.Options{})
	if err != nil {
		return err
	}
	defer svc.Close()
	return use(log, hosts, svc)
}

// startEmbedded runs one side and one entry in g and returns the callers' address.
func startEmbedded(ctx context.Context, g *errgroup.Group, log *logsvc.Server, hosts *hostlist.Server, svc *service.Server) (string, error) {
	logger := hclog.NewNullLogger()
	if err := declare(ctx, log.URL()); err != nil {
		return "", err
	}
	ss := settings.DefaultSide()
	ss.Host.ID = embeddedSide
	ss.Target = structs.TargetInfo{ID: "echo-1", Kind: structs.KindService, Service: embeddedService}
	ss.TargetURL = svc.URL()
	ss.DrainTimeout = embeddedDrain
	s, err := node.NewSide(ss, logger, metrics.NewRegistry())
	if err != nil {
		return "", err
	}
	g.Go(func() error { return s.Run(ctx) })
	hosts.Set(platform.Host{ID: embeddedSide, Role: platform.RoleSide, Addr: s.Addr(), Domain: ss.Host.Domain, State: platform.HostLive})

	es := settings.DefaultEntry()
	es.Platform = settings.Platform{LogURL: log.URL(), HostListURL: hosts.URL()}
	es.DrainTimeout = embeddedDrain
	e, err := node.NewEntry(es, logger, metrics.NewRegistry())
	if err != nil {
		return "", err
	}
	g.Go(func() error { return e.Run(ctx) })
	return e.CallerAddr(), nil
}

// declare puts what the measurement needs into the configuration: a workspace without
// limits, the service and its target.
func declare(ctx context.Context, logURL string) error {
	record, err := confstate.EncodeConfirm(&structs.Confirm{
		Plan:     "overhead",
		Operator: "lab",
		AtMs:     time.Now().UnixMilli(),
		Intents: []structs.Intent{
			{Workspace: &structs.WorkspaceIntent{ID: "overhead", KeyHashes: []string{settings.KeySum(embeddedKey)}}},
			{Service: &structs.ServiceIntent{ID: embeddedService}},
			{Target: &structs.TargetIntent{ID: "echo-1", Kind: structs.KindService, Host: embeddedSide, Service: embeddedService}},
		},
	})
	if err != nil {
		return err
	}
	_, err = loghttp.New(logURL).Append(ctx, structs.ConfigStream, record)
	return err
}

// awaitReady waits until a call gets through.
func awaitReady(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	p := newProbe(o.Through, o)
	defer p.close()
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for {
		err := p.call()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.Newf(errs.NoTarget, "not ready after %s: %v", readyTimeout, err)
		case <-tick.C:
		}
	}
}
