package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VersionKey is a short hash of a service and a software version of its servers. What
// servers of different versions generate can't be combined in one stream.
type VersionKey uint32

// VersionKey returns the key of the server's version. It is never 0. A server whose version is
// unknown has a key of its own.
func (s Server) VersionKey() VersionKey {
	if s.Version == "" {
		return versionKeyOf(s.Service, "\x00"+s.process())
	}
	return versionKeyOf(s.Service, s.Version)
}

func versionKeyOf(service, version string) VersionKey {
	return VersionKey(max(1, uint32(xxhash.Sum64String(service+"\x00"+version))))
}

// ServiceKey is a short hash of the name of a service, used in digests.
type ServiceKey uint32

func serviceKeyOf(service string) ServiceKey { return ServiceKey(xxhash.Sum64String(service)) }

// mixedMemory is how long after servers of several versions were listed a resumed stream
// may have begun at any of these. It is longer than streams last, with their resumptions.
const mixedMemory = 60 * time.Second

// withKnownVersions adds the versions that are missing in a list. Routers of earlier builds
// pass lists on without versions.
func (t *Table) withKnownVersions(list []Server) []Server {
	list = slices.Clone(list)
	for i, s := range list {
		if r, known := t.servers[s.ID]; known && s.Version == "" && r.process() == s.process() {
			list[i].Version = r.Version
		}
	}
	return list
}

// noteVersions records which services have servers of more than one version, in this list
// or between the previous one and this.
func (t *Table) noteVersions(now time.Time, list []Server) {
	versions := make(map[ServiceKey]VersionKey, len(t.versions))
	for _, s := range list {
		service, version := serviceKeyOf(s.Service), s.VersionKey()
		before, listed := versions[service]
		if !listed {
			before, listed = t.versions[service]
		}
		if listed && before != version {
			t.mixedAt[service] = now
		}
		versions[service] = version
	}
	for service, version := range t.versions {
		if _, listed := versions[service]; !listed {
			// Servers of another version may be listed later.
			versions[service] = version
		}
	}
	t.versions = versions
}

// HasMixedVersions reports whether servers of several versions have served a service
// recently, as far as this router and its peers know.
func (t *Table) HasMixedVersions(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.mixedAt[serviceKeyOf(service)]
	return ok && now.Sub(at) < mixedMemory
}

// MixedServices returns the services with servers of several versions, and the time since
// these were last seen. Routers that have just started learn of them from their peers.
func (t *Table) MixedServices(now time.Time) map[ServiceKey]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[ServiceKey]time.Duration)
	for service, at := range t.mixedAt {
		if age := now.Sub(at); age < mixedMemory {
			ages[service] = age
		} else {
			delete(t.mixedAt, service)
		}
	}
	return ages
}

// SetPeerMixedServices applies what a peer knows of services with several versions.
func (t *Table) SetPeerMixedServices(now time.Time, ages map[ServiceKey]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, age := range ages {
		t.mixedAt[service] = latest(t.mixedAt[service], now.Add(-max(0, age)))
	}
}

// maxListAge is the age up to which a list shows that a version is gone.
const maxListAge = 2 * time.Second

// isVersionGone reports whether the service has servers, and none of them is of the query's
// version and takes requests, or the last ones. Without a recent list, or if the versions of
// servers are unknown, it may have some.
func (t *Table) isVersionGone(now time.Time, q Query) bool {
	others := false
	for _, r := range t.servers {
		if r.Service != q.Service.Name || !r.acceptsRequests() && !r.acceptsLastRequests(now) {
			continue
		}
		if r.Version == "" || r.VersionKey() == q.Version {
			return false
		}
		others = true
	}
	return others && now.Sub(t.listAt) < maxListAge
}

// maxUnnoted is how long the control group may fail to note the version of a server. The server
// is used all the same then.
const maxUnnoted = 3 * time.Second

// isNoted reports whether resumable streams may begin at the server. If they began at versions
// that the control group doesn't know, it couldn't tell after a loss of all routers that there
// were several.
func (r *record) isNoted(now time.Time) bool {
	return r.Noted || now.Sub(r.listedSince) >= maxUnnoted
}

// HasOther reports whether another server than those excluded could take the request now.
func (t *Table) HasOther(now time.Time, q Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.candidates(now, q)) > 0
}
