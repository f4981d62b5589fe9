package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/relay"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/follow"
)

// followers are entries of one failure domain that follow one log, the ones by the others.
type followers struct {
	stopList
	all     []*follow.Follower
	traffic traffic
	log     *countedLog
}

func startFollowers(ctx context.Context, n int) (*followers, error) {
	f := &followers{log: &countedLog{Log: logmem.New(1)}}
	var hosts []platform.Host
	var lns []net.Listener
	for i := range n {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			f.stop()
			return nil, errs.Newf(errs.Internal, "listen: %v", err)
		}
		f.add(func() { ln.Close() })
		lns = append(lns, ln)
		hosts = append(hosts, platform.Host{
			ID: hostID("entry", i), Role: platform.RoleEntry, State: platform.HostLive,
			Addr: ln.Addr().String(), Domain: domainID(0),
		})
	}
	for i, h := range hosts {
		s := ownerSettings(h.ID, 1)
		s.Host.Domain = h.Domain
		fol := follow.New(follow.Options{Self: s, Log: f.log, Members: func() []platform.Host { return hosts }})
		server := &fasthttp.Server{Handler: fol.PeerHandler, NoDefaultServerHeader: true}
		go func() {
			_ = server.Serve(countedListener{lns[i], &f.traffic}) // it ends when the listener is closed
		}()
		f.add(run(fol).stop)
		f.all = append(f.all, fol)
	}
	for _, fol := range f.all {
		select {
		case <-fol.Ready():
		case <-time.After(rigTimeout):
			f.stop()
			return nil, errs.New(errs.DeadlineExceeded, "a follower was not ready in time")
		}
	}
	return f, nil
}

// measureFollowers measures entries that follow the configuration while nothing changes, and the
// time until a change is in force at all of them.
func measureFollowers(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		f, err := startFollowers(ctx, int(x))
		if err != nil {
			return nil, err
		}
		defer f.stop()
		time.Sleep(b.warmUp)
		settle()
		bytes, reads := f.traffic.bytes.Load(), f.log.reads.Load()
		used := cpuDuring(func() { time.Sleep(beatWindow) })
		s := beatWindow.Seconds()
		idle := []float64{used / s, float64(f.traffic.bytes.Load()-bytes) / s, float64(f.log.reads.Load()-reads) / s}
		took, err := f.change(ctx)
		return append(idle, float64(took)/float64(time.Millisecond)), err
	}
	return b.measure(ctx, b.few(8, 16, 31), at,
		Slope{Name: FollowCPU, Feeds: "configuration: followers (control)", Unit: "us/s an entry", Base: "us/s", Over: "entries of a failure domain",
			Model: "asking and answering together, no change"},
		Slope{Name: FollowBytes, Feeds: "configuration: followers (control)", Unit: "B/s an entry", Base: "B/s", Over: "entries of a failure domain",
			Model: "questions and answers between entries over HTTP, without TCP and IP headers; the two that read the log are not in it"},
		Slope{Name: FollowReads, Feeds: "log: reads of the configuration", Unit: "reads/s an entry", Base: "reads/s", Over: "entries of a failure domain",
			Model: fmt.Sprintf("%d of them read the log", relay.Roots)},
		Slope{Name: InForceTime, Feeds: "configuration: time until in force", Unit: "ms/entry", Base: "ms", Over: "entries of a failure domain",
			Model: "wall clock from the append to the last of them, one domain on loopback"})
}

// change appends one change and returns the time until every follower has it.
func (f *followers) change(ctx context.Context) (time.Duration, error) {
	e, err := confirmEntry(f.all[0].Current().Version, "change", workspaceIntent(0, 0))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, rigTimeout)
	defer cancel()
	began := time.Now()
	offset, err := f.log.Append(ctx, structs.ConfigStream, e.Body)
	if err != nil {
		return 0, err
	}
	for _, fol := range f.all {
		if _, err := fol.WaitFor(ctx, structs.Version(offset)); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}
