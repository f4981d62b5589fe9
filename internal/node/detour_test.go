package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

// Guards against a gateway that keeps an old configuration and rejects jobs while the store refuses calls from its
// host only. This happened when a gateway read configurations and wrote jobs only through its direct path to the
// store.
func TestGatewayRefusedByStoreWorksThroughPeer(t *testing.T) {
	s := newSystem(t, 1)
	defer s.stopAll()
	directStore := s.store.(*keyedlog.View).Sibling()
	directServer := httptest.NewServer(wiretest.StoreHandler(directStore))
	t.Cleanup(directServer.Close)
	s.start("g1", strings.TrimPrefix(directServer.URL, "http://"))
	refusedGateway := s.gateways[1]
	for len(refusedGateway.loadShare.PeersWithStore()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	directStore.Set(keyedlog.Faults{Refuse: true})
	s.must(wiretest.PutConfig(t.Context(), s.store, wiretest.NextRoutes()))
	addr := refusedGateway.CallerAddr()
	for {
		if status, _ := s.caller.Send(addr, http.MethodPost, "/new/x", "r1", "echo"); status == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond) // bounded by the timeout of the test
	}
	s.runJob(addr, addr)
	if !refusedGateway.storePaths.IsDirectLost() {
		t.Error("the gateway has not lost its direct path to the store, want it lost: the calls were not relayed by a peer")
	}
}
