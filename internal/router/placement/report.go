package placement

import (
	"slices"
	"time"
)

// CacheReport is what one engine reported about its cached prompts.
type CacheReport struct {
	Server ServerKey
	// Prompts are short hashes of the cached parts, in ascending order.
	Prompts []uint32
	// Age is the time since the engine was queried.
	Age time.Duration
}

// storedReport is a cache report in the directory.
type storedReport struct {
	prompts   []uint32
	queriedAt time.Time
}

// NewCacheReport returns an engine's list of cached parts in compact form.
func NewCacheReport(server ServerKey, parts []uint64) CacheReport {
	prompts := make([]uint32, len(parts))
	for i, part := range parts {
		prompts[i] = shortPrompt(part)
	}
	slices.Sort(prompts)
	return CacheReport{Server: server, Prompts: slices.Compact(prompts)}
}

// shortPrompt returns the short hash of a prompt. It saves space: an engine caches
// thousands of parts, and most of them are never requested again.
func shortPrompt(prompt uint64) uint32 { return uint32(prompt >> 32) }

// SetCacheReport stores a cache report unless a newer one is known.
func (d *PrefixDirectory) SetCacheReport(now time.Time, report CacheReport) {
	queriedAt := now.Add(-report.Age)
	if current, ok := d.reports[report.Server]; ok && current.queriedAt.After(queriedAt) {
		return
	}
	d.reports[report.Server] = storedReport{report.Prompts, queriedAt}
}

// appendReported appends the servers that reported the prompt as cached.
func (d *PrefixDirectory) appendReported(now time.Time, prompt uint64, servers []ServerKey) []ServerKey {
	for server, report := range d.reports {
		if now.Sub(report.queriedAt) >= locationLifetime {
			delete(d.reports, server)
			continue
		}
		if _, found := slices.BinarySearch(report.prompts, shortPrompt(prompt)); found && !slices.Contains(servers, server) {
			servers = append(servers, server)
		}
	}
	return servers
}

// DirectorySnapshot is all that one router knows about cached prompts. The field
// names are part of the wire format.
type DirectorySnapshot struct {
	Homes []CacheLocation
	Kept  []CacheReport
}

// Directory returns a snapshot of the directory, for a router that has just
// started.
func (t *Table) Directory(now time.Time) DirectorySnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.locations.snapshot(now)
}

func (d *PrefixDirectory) snapshot(now time.Time) DirectorySnapshot {
	var snapshot DirectorySnapshot
	for _, prompt := range d.prompts.Keys() {
		list, _ := d.prompts.Peek(prompt)
		for _, location := range list {
			if age := now.Sub(location.usedAt); age < locationLifetime {
				snapshot.Homes = append(snapshot.Homes, CacheLocation{prompt, location.server, age})
			}
		}
	}
	for server, report := range d.reports {
		if age := now.Sub(report.queriedAt); age < locationLifetime {
			snapshot.Kept = append(snapshot.Kept, CacheReport{server, report.prompts, age})
		}
	}
	return snapshot
}

// MergeDirectory adds the snapshot of a peer, or what engines reported.
func (t *Table) MergeDirectory(now time.Time, snapshot DirectorySnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.locations.AddPeerLocations(now, snapshot.Homes)
	for _, report := range snapshot.Kept {
		t.locations.SetCacheReport(now, report)
	}
}

// Engines returns the servers of the given services that can be queried for their
// cached prompts. It omits servers that are leaving, in a zone that is out, known to be
// down, or in a pause that they asked for.
func (t *Table) Engines(now time.Time, isEngine func(service string) bool, zoneOut func(zone string) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var engines []Server
	for _, r := range t.servers {
		if isEngine(r.Service) && r.acceptsRequests() && !zoneOut(r.Zone) && !now.Before(r.downUntil) && r.backoff.wait(now) <= 0 {
			engines = append(engines, r.Server)
		}
	}
	return engines
}
