// Package side is the shell of a side process, the only door to its target. A request
// passes through filters, each in a file of its own:
//
//	receive (sessions.go)  frames of the sessions with entries
//	gate    (gate.go)      draining, wrong target, keys of non-idempotent requests
//	admit   (queue.go)     core/admit decides when the target is given it
//	dispatch (service.go, engine.go, item.go)  the run at the target
//	relay   (relay.go)     the answer, under the stream's credit
//
// Batch items come in by pull (pull.go), their outcomes are held until the owner
// acknowledges them (outcomes.go). Every decision that can be pure is: core/admit,
// core/dedup, and here fence, health and shares.
package side
