package state

import (
	"fmt"

	"bronzerill"
)

// Overtaken returns why a ticket must not be applied any more, or an empty string: a ticket with a
// higher number has changed an entity that this one changes. A ticket that was applied already isn't
// overtaken.
func (m *Machine) Overtaken(t bronzerill.Ticket) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, applied := m.outcomes[t.Number]; applied {
		return ""
	}
	newer := make(map[uint64]uint64)
	for number, outcome := range m.outcomes {
		if number > t.Number {
			newer[outcome.Revision] = number
		}
	}
	for _, entity := range t.Entities() {
		if number, ok := newer[m.config.ChangedAt(entity)]; ok {
			return fmt.Sprintf("ticket %d was overtaken: ticket %d has changed %s %q; submit the change under a higher number",
				t.Number, number, entity.Kind, entity.Name)
		}
	}
	return ""
}
