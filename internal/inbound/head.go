package inbound

import (
	"bytes"
	"net/http"
)

// What a head takes in memory: the server has it in a map, and the request to a target in a copy.
const (
	// headLineBytes is what each line takes, whatever it has on the wire.
	headLineBytes = 512
	// headByteCopies is how often each byte of a head is held.
	headByteCopies = 4
)

// headMeter measures the head of a request as it arrives.
type headMeter struct {
	size     int64 // bytes up to the end of the head
	lines    int64 // lines with at least one character
	hasText  bool  // the line that arrives has a character
	hasEnded bool  // the empty line after the head has arrived
}

// add measures the next bytes on the connection. Empty lines before the head are part of it.
func (m *headMeter) add(p []byte) {
	for len(p) > 0 && !m.hasEnded {
		line, rest, isWhole := bytes.Cut(p, []byte("\n"))
		m.size += int64(len(p) - len(rest))
		if text := bytes.TrimSuffix(line, []byte("\r")); len(text) > 0 && !m.hasText {
			m.hasText = true
			m.lines++
		}
		if !isWhole {
			return
		}
		m.hasEnded = !m.hasText && m.lines > 0
		m.hasText = false
		p = rest
	}
}

// cost returns what the head takes in memory so far, in bytes.
func (m *headMeter) cost() int64 { return m.lines*headLineBytes + m.size*headByteCopies }

// headCost returns what the head of a request takes in memory, in bytes. The server may have read it with the request before it
// on the connection.
func headCost(r *http.Request) int64 {
	m := headMeter{lines: 1, size: int64(len(r.Method) + len(r.RequestURI) + len(r.Host))}
	for name, values := range r.Header {
		for _, value := range values {
			m.lines++
			m.size += int64(len(name) + len(value))
		}
	}
	return m.cost()
}
