// Package dedup runs a non-idempotent request with a key at most once, over
// resends through any entry, restarts of hosts and changes of the registered targets.
// It is pure: now is an argument, and nothing here does I/O.
//
// Each key has one home: the target that Home picks by rendezvous hashing over
// the registered targets of the service. The home's side remembers in a Machine what it
// ran. Whatever it can't know it refuses (errs.KeyUnverifiable), so that a loss
// of memory costs an answer and never a second run:
//
//   - a new incarnation refuses keys issued before it started, and for one
//     window all keys that don't say when they were issued;
//   - keys older than the window are refused, since they may have been forgotten;
//   - a removed target stays in the hashing for the window and its keys are refused;
//   - an added target refuses keys issued before every entry knew of it.
//
// The other way weighed is a claim record in the log before each run. It
// survives the loss of the home, but costs an append for each request (the log
// takes several hundred a second for the whole system), a round trip to the log
// in each answer's latency, and refuses all such requests while the log is down. A home
// costs no append and no message. What it gives up: after the home is lost, a
// resend of a key of its last window gets KeyUnverifiable in place of the answer.
//
// Two bounds are assumed and are settings of Config: clocks of clients and hosts
// differ by at most Skew, and an entry that still routes keyed requests has all
// configuration that is older than Propagation. An entry that is cut off from the
// configuration for longer must refuse keyed requests.
package dedup
