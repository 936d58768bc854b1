package placing

import (
	"slices"
	"time"
)

// CacheReport is what one engine said itself of the prompts in its memory.
type CacheReport struct {
	Server ServerKey
	// Prompts are short hashes of the kept parts, in order.
	Prompts []uint32
	// Age is the time since the engine was asked.
	Age time.Duration
}

// kept is a row of the directory's second table.
type kept struct {
	prompts []uint32
	askedAt time.Time
}

// NewCacheReport returns an engine's list of parts in its compact form.
func NewCacheReport(server ServerKey, parts []uint64) CacheReport {
	prompts := make([]uint32, len(parts))
	for i, part := range parts {
		prompts[i] = shortPrompt(part)
	}
	slices.Sort(prompts)
	return CacheReport{Server: server, Prompts: slices.Compact(prompts)}
}

// shortPrompt returns the short hash of a prompt: an engine keeps some thousand
// parts, most of which nobody will ask for again.
func shortPrompt(prompt uint64) uint32 { return uint32(prompt >> 32) }

// SetCacheReport takes what an engine said, unless a newer word is known.
func (h *PrefixDirectory) SetCacheReport(now time.Time, k CacheReport) {
	askedAt := now.Add(-k.Age)
	if before, ok := h.kept[k.Server]; ok && before.askedAt.After(askedAt) {
		return
	}
	h.kept[k.Server] = kept{k.Prompts, askedAt}
}

// said appends the servers whose own word is that they keep the prompt.
func (h *PrefixDirectory) said(now time.Time, prompt uint64, servers []ServerKey) []ServerKey {
	for server, k := range h.kept {
		if now.Sub(k.askedAt) >= homeLifetime {
			delete(h.kept, server)
			continue
		}
		if _, found := slices.BinarySearch(k.prompts, shortPrompt(prompt)); found && !slices.Contains(servers, server) {
			servers = append(servers, server)
		}
	}
	return servers
}

// DirectorySnapshot is all that one router knows of the prompts that servers keep.
type DirectorySnapshot struct {
	Homes []CacheLocation
	Kept  []CacheReport
}

// Directory returns what is known, for a router that has just started.
func (t *Table) Directory(now time.Time) DirectorySnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.homes.directory(now)
}

func (h *PrefixDirectory) directory(now time.Time) DirectorySnapshot {
	var d DirectorySnapshot
	for _, prompt := range h.prompts.Keys() {
		list, _ := h.prompts.Peek(prompt)
		for _, home := range list {
			if age := now.Sub(home.usedAt); age < homeLifetime {
				d.Homes = append(d.Homes, CacheLocation{prompt, home.server, age})
			}
		}
	}
	for server, k := range h.kept {
		if age := now.Sub(k.askedAt); age < homeLifetime {
			d.Kept = append(d.Kept, CacheReport{server, k.prompts, age})
		}
	}
	return d
}

// MergeDirectory adds what another router or the engines know.
func (t *Table) MergeDirectory(now time.Time, d DirectorySnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.AddFromPeer(now, d.Homes)
	for _, k := range d.Kept {
		t.homes.SetCacheReport(now, k)
	}
}

// Engines returns the servers of the given services that may be asked what they
// keep: they take work, and none of them is known to be down.
func (t *Table) Engines(now time.Time, isEngine func(service string) bool, zoneOut func(zone string) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var engines []Server
	for _, r := range t.servers {
		if isEngine(r.Service) && !r.Leaving && !zoneOut(r.Zone) && !now.Before(r.downUntil) {
			engines = append(engines, r.Server)
		}
	}
	return engines
}
