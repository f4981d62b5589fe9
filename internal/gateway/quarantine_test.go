package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// A request that is quarantined is answered at once, sent nowhere and charged to no quota, and its caller is not told to send it again.
func TestAQuarantinedRequestIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, whole(200, "ok", nil))
		b.workspace = "w"
		b.quarantined = errs.New(errs.Quarantined, "targets have crashed under it")
		out := &caller{}
		b.serve(context.Background(), route(serving.KindSafe, 2, false), out)
		if len(b.sent) != 0 || b.admitted != 0 || out.at != 0 {
			t.Errorf("%d sends, %d charged, answered after %v", len(b.sent), b.admitted, out.at)
		}
		if out.err == nil || out.err.Type != errs.Quarantined || out.err.Ran != errs.RanNo || out.err.RetryAfterMs != 0 {
			t.Errorf("error %+v", out.err)
		}
	})
}

// Guards against a request that waits, or goes on elsewhere, while its content is quarantined.
func TestARequestIsCheckedBeforeEachSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(3, stream(first3, io.ErrUnexpectedEOF), stream(last2, nil))
		b.scripts[0] = quarantiningAfter(b, b.scripts[0])
		out := &caller{}
		b.serve(context.Background(), route(serving.KindStream, 3, true), out)
		if len(b.sent) != 1 || !out.aborted {
			t.Errorf("%d sends, broken off %v", len(b.sent), out.aborted)
		}
	})
}

// quarantiningAfter has the bench quarantine all requests from the send of s on.
func quarantiningAfter(b *bench, s script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		b.mu.Lock()
		b.quarantined = errs.New(errs.Quarantined, "targets have crashed under it")
		b.mu.Unlock()
		return s(ctx, c)
	}
}

// Guards against not counting a target that is lost with its connections open: an attempt that is given up since nothing comes is told.
func TestSilentAttemptsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(3, dark, stream(first3, nil))
		b.serve(context.Background(), route(serving.KindStream, 3, true), &caller{})
		synctest.Wait()
		if len(b.fellSilent) != 1 || b.fellSilent[0].Target.ID != b.sentFirst() || len(b.brokenOff) != 0 {
			t.Errorf("%+v told as silent, %+v as broken off", b.fellSilent, b.brokenOff)
		}
		time.Sleep(time.Second)
	})
}

// What is told of runs that targets break off: from and to which event they went, and nothing of refusals and of runs that end here.
func TestBrokenRunsAreTold(t *testing.T) {
	broken := io.ErrUnexpectedEOF
	type run struct {
		from, to string
		hasEnded bool
	}
	cases := []struct {
		name    string
		route   *serving.Route
		scripts []script
		want    []run
		served  int
	}{
		{"a stream from the start, and one that goes on", route(serving.KindStream, 3, true),
			[]script{stream(first3, broken), stream("id: 4\ndata: d\n\n", broken), stream("id: 5\ndata: e\n\n", nil)}, []run{{"", "3", false}, {"3", "4", false}}, 1},
		{"no answer", route(serving.KindSafe, 2, false), []script{lostAnswer, whole(200, "ok", nil)}, []run{{"", "", false}}, 1},
		{"part of an answer", route(serving.KindUnsafe, 2, false), []script{whole(200, "o", broken)}, []run{{"", "", false}}, 0},
		{"a refusal and no connection", route(serving.KindUnsafe, 1, false), []script{refusal, noConnection, whole(200, "ok", nil)}, nil, 1},
		{"a failure of the target's own", route(serving.KindUnsafe, 1, false), []script{whole(500, "bad", nil)}, nil, 1},
		{"a target that has started again", route(serving.KindUnsafe, 1, false), []script{dark}, []run{{"", "", true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(3, c.scripts...)
				go func() {
					time.Sleep(100 * time.Millisecond)
					if len(c.want) > 0 && c.want[0].hasEnded {
						b.view.Ended([]string{b.sentFirst()})
					}
				}()
				b.serve(context.Background(), c.route, &caller{})
				synctest.Wait()
				var got []run
				for _, r := range b.brokenOff {
					got = append(got, run{r.From, r.To, r.HasCrashed})
				}
				if len(got) != len(c.want) || b.served != c.served {
					t.Fatalf("%+v and %d served, want %+v and %d", got, b.served, c.want, c.served)
				}
				for i := range got {
					if got[i] != c.want[i] {
						t.Errorf("%+v, want %+v", got[i], c.want[i])
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}
