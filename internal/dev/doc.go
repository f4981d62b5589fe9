// Package dev runs the whole system in one process on loopback sockets: stand-ins of
// the platform and of the targets, entries and sides. It is for trying things out.
package dev
