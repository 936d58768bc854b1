package state

import (
	"slices"

	"bronzerill"
	"bronzerill/internal/router/declared"
)

// Declare submits a complete declared state. If its number isn't above that of
// the current declared state, the command succeeds without a change, so it is
// safe to resend.
type Declare struct {
	Number uint64 `msgpack:"n"`
	Source []byte `msgpack:"s"`
}

// SetZone takes the servers of a zone out of service, or puts them back.
type SetZone struct {
	Zone string `msgpack:"z"`
	Out  bool   `msgpack:"o"`
}

// maxZonesOut bounds the number of zones that are out at the same time. The
// requirements plan for 16.
const maxZonesOut = 256

// Declared returns the declared state.
func (m *Machine) Declared() declared.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.declared
}

func (m *Machine) applyDeclare(index uint64, d Declare) Result {
	if d.Number > m.declared.Number {
		m.declared.Number = d.Number
		m.declared.Source = d.Source
		m.declared.Revision = index
	}
	return Result{}
}

func (m *Machine) applySetZone(index uint64, z SetZone) Result {
	position, found := slices.BinarySearch(m.declared.ZonesOut, z.Zone)
	switch {
	case z.Out == found:
		return Result{}
	case z.Out && len(m.declared.ZonesOut) >= maxZonesOut:
		return Result{Kind: bronzerill.KindTableFull, Detail: "too many zones are out"}
	case z.Out:
		m.declared.ZonesOut = slices.Insert(slices.Clone(m.declared.ZonesOut), position, z.Zone)
	default:
		m.declared.ZonesOut = slices.Delete(slices.Clone(m.declared.ZonesOut), position, position+1)
	}
	m.declared.Revision = index
	return Result{}
}
