package state

import (
	"slices"

	"bronzerill"
	"bronzerill/internal/router/declared"
)

// Declare submits a whole desired state. A number that isn't above the newest
// one changes nothing and is acknowledged, so resends are safe.
type Declare struct {
	Number uint64 `msgpack:"n"`
	Source []byte `msgpack:"s"`
}

// SetZone takes a zone's servers out of service, or takes them back.
type SetZone struct {
	Zone string `msgpack:"z"`
	Out  bool   `msgpack:"o"`
}

// maxZonesOut bounds the zones that are out at once; letter 1 plans for 16.
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
	at, found := slices.BinarySearch(m.declared.ZonesOut, z.Zone)
	switch {
	case z.Out == found:
		return Result{}
	case z.Out && len(m.declared.ZonesOut) >= maxZonesOut:
		return Result{Kind: bronzerill.KindTableFull, Detail: "zones out"}
	case z.Out:
		m.declared.ZonesOut = slices.Insert(slices.Clone(m.declared.ZonesOut), at, z.Zone)
	default:
		m.declared.ZonesOut = slices.Delete(slices.Clone(m.declared.ZonesOut), at, at+1)
	}
	m.declared.Revision = index
	return Result{}
}
