// Package cluster runs a whole system in this process over loopback sockets, for tests
// and labs: real entries and sides, and stand-ins of the platform and of the
// targets. Processes can be stopped, killed and replaced one by one. Nothing is simulated: what
// is killed loses its sockets, what is paused keeps them.
package cluster
