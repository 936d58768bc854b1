package state

import (
	"cmp"
	"slices"

	"bronzerill"
)

// ServiceVersion is a software version of the servers of a service.
type ServiceVersion struct {
	Service string `msgpack:"s"`
	// Version is empty if the servers don't state one.
	Version string `msgpack:"v"`
}

// NoteVersions records versions at which streams may begin from now on.
type NoteVersions struct {
	Versions []ServiceVersion `msgpack:"v"`
}

// ForgetVersion removes a version of which no stream can go on any more. It does nothing if the
// version was noted again after Noted.
type ForgetVersion struct {
	Version ServiceVersion `msgpack:"v"`
	// Noted is the log index at which the version was noted last.
	Noted uint64 `msgpack:"n"`
}

// NotedVersion is a version at which streams may have begun.
type NotedVersion struct {
	ServiceVersion
	// Noted is the log index at which the version was noted last.
	Noted uint64 `msgpack:"n"`
}

// maxVersions bounds the noted versions. The requirements plan for 10 models.
const maxVersions = 4096

// Versions returns the noted versions by service and version.
func (m *Machine) Versions() []NotedVersion {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.versionList()
}

func (m *Machine) versionList() []NotedVersion {
	list := make([]NotedVersion, 0, len(m.versions))
	for version, noted := range m.versions {
		list = append(list, NotedVersion{ServiceVersion: version, Noted: noted})
	}
	slices.SortFunc(list, func(a, b NotedVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return list
}

func (m *Machine) applyNoteVersions(index uint64, n NoteVersions) Result {
	added := 0
	for _, version := range n.Versions {
		if _, known := m.versions[version]; !known {
			added++
		}
	}
	if len(m.versions)+added > maxVersions {
		return Result{Kind: bronzerill.KindTableFull, Detail: "too many versions of servers"}
	}
	for _, version := range n.Versions {
		m.versions[version] = index
	}
	return Result{}
}

func (m *Machine) applyForgetVersion(f ForgetVersion) Result {
	if m.versions[f.Version] == f.Noted {
		delete(m.versions, f.Version)
	}
	return Result{}
}
