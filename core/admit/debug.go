package admit

import "fmt"

func (m *Machine) Debug() string {
	if !m.floor.known() {
		return ""
	}
	return fmt.Sprintf("base %.4f per %.5f tok %.7f chunk %.4f floor %.3f samples %d", m.model.base, m.model.perStream, m.model.perToken, m.model.chunk, m.floor.high(), m.model.samples)
}
