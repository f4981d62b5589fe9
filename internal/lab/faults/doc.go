// Package faults runs a whole system over loopback sockets under faults that a seed draws,
// with jobs and online requests beside them, and then checks what was promised: by
// invariants inside the program, by what the stand-ins have counted, and by a fold of the log
// of its own that shares no code with the product's.
package faults
