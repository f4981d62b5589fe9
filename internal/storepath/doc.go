// Package storepath provides access to the platform's store by two paths: directly, and through another
// gateway when the store refuses this one or the network between the two is interrupted.
//
// The store or the network can fail for some hosts while the store serves all others. A gateway on such a
// host would accept no jobs, lose its shards and its running items, and receive neither configuration nor
// targets, although its peers reach the store.
//
// A call through a peer has the same guarantees as a direct one: the peer forwards it to the store, and
// nothing is stored on the way. A relayed call is never relayed again.
package storepath
