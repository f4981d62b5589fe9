// Package storepath reaches the platform's store by two ways: directly, and through another gateway when the store
// turns this one away or the network between the two is cut.
//
// What goes wrong without it: the store, or the network, can fail for some hosts while it serves all others. A
// gateway on such a host accepts no jobs, loses its shards and its running items, and learns neither
// configuration nor targets, although its peers reach the store a few milliseconds away. It is noticed as
// `dependency lost` at some gateways only, and as batch items that come late. Measured on days on which a third
// of the gateways loses the store four times for five to eight seconds: of the worth of batch work 73% (Kelpie) and
// 65% (Tuulai) were earned without this package; docs/PLATFORM.md has the figures with it.
//
// A call through a peer is as good as a direct one: the peer passes it on to the store and nothing is kept
// on the way. A relayed call is never relayed again.
package storepath
