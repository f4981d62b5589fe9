package entry

// notReady returns why the entry should get no requests, or "".
func (e *Entry) notReady() string {
	if e.draining.Load() {
		return "draining"
	}
	if !e.pool.listed.Load() {
		return "host list not read yet"
	}
	if e.pool.connected() == 0 {
		return "no side is connected"
	}
	for _, ready := range e.parts.Ready {
		if !ready() {
			return "a part is not ready"
		}
	}
	return ""
}
