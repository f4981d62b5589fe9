package dev

import (
	"strconv"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/service"
	"arbutusramp/standin/weights"
)

// What the stand-ins model.
const (
	model        = structs.ModelID("draft-small")
	modelVersion = "1"
	serviceName  = structs.ServiceID("lookup")
	modelBytes   = 64 << 20

	engineBase     = 5 * time.Millisecond // of each step
	engineSlots    = 16                   // sequences in the running batch
	engineLoadLag  = 300 * time.Millisecond
	serviceLatency = 2 * time.Millisecond
	hostListLag    = 200 * time.Millisecond
)

const loopback = "127.0.0.1:0"

// standins are the services that the system meets outside.
type standins struct {
	log      *logsvc.Server
	hosts    *hostlist.Server
	weights  *weights.Server
	engines  []*engine.Server
	services []*service.Server
	closers  []func() error
}

// startStandins starts n engines and n services.
func startStandins(n int) (*standins, error) {
	s := &standins{}
	if err := s.start(n); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *standins) start(n int) error {
	var err error
	if s.log, err = keep(s, logsvc.Start, logsvc.Options{}); err != nil {
		return err
	}
	if s.hosts, err = keep(s, hostlist.Start, hostlist.Options{Lag: hostListLag}); err != nil {
		return err
	}
	if s.weights, err = keep(s, weights.Start, weights.Options{DefaultSize: modelBytes}); err != nil {
		return err
	}
	for i := range n {
		if err := s.startTargets(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *standins) startTargets(i int) error {
	e, err := keep(s, engine.Start, engine.Options{
		Models:     []structs.ModelID{model},
		Base:       engineBase,
		MaxRunning: engineSlots,
		LoadLag:    engineLoadLag,
		WeightsURL: s.weights.URL(),
		Seed:       uint64(i),
	})
	if err != nil {
		return err
	}
	s.engines = append(s.engines, e)
	svc, err := keep(s, service.Start, service.Options{Latency: serviceLatency, Seed: uint64(i)})
	if err != nil {
		return err
	}
	s.services = append(s.services, svc)
	return nil
}

// keep starts one stand-in and notes how it is closed.
func keep[O any, S interface{ Close() error }](s *standins, start func(string, O) (S, error), o O) (S, error) {
	server, err := start(loopback, o)
	if err == nil {
		s.closers = append(s.closers, server.Close)
	}
	return server, err
}

func (s *standins) close() {
	for _, c := range s.closers {
		_ = c() // a listener that is closed already is closed
	}
}

// list puts a process on the host list.
func (s *standins) list(id structs.HostID, role platform.Role, addr string, domain structs.FailureDomain) {
	s.hosts.Set(platform.Host{ID: id, Role: role, Addr: addr, Domain: domain, State: platform.HostLive})
}

func numbered(prefix string, i int) string { return prefix + "-" + strconv.Itoa(i+1) }
