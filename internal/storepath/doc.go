// Package storepath lets a gateway call the platform's store by two paths: directly, and through the relay of
// another gateway (a peer) while the store cannot be reached directly.
//
// The store or the network can fail for some hosts while the store serves all others. Without a second path a
// gateway on such a host would accept no jobs, lose its shards and its running items, and receive neither
// configuration nor targets, although its peers reach the store.
//
// A call through a peer has the same guarantees as a direct one: the peer forwards it to the store and stores
// nothing itself. A relayed call is never relayed again.
package storepath
