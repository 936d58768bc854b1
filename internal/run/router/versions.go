package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzerill/internal/control/state"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/peer"
	"bronzerill/internal/router/placement"
)

// Parameters of the history of versions.
const (
	// noteTimeout limits one attempt to note versions.
	noteTimeout = 300 * time.Millisecond
	// noteInterval is the time between checks for versions that aren't noted. Resumable
	// streams don't begin at a new version until it is.
	noteInterval = 100 * time.Millisecond
	// versionRetention is how long a version that is no longer listed stays noted. It is
	// longer than streams last, with their resumptions.
	versionRetention = time.Minute
	// fetchedFor is how long after the start a router without a disk relies on the noted
	// versions that a peer told it.
	fetchedFor = 10 * time.Second
	// maxListGap is the age at which a list doesn't show any more that a version isn't in use.
	maxListGap = 5 * time.Second
)

// versionHistory keeps the history of the versions of servers in the control group. A
// version is noted there before a resumable stream begins at it. Hence the group knows all
// versions at which streams may have begun, also after all routers have lost their memory.
type versionHistory struct {
	router    *Router
	mu        sync.Mutex
	startedAt time.Time
	// noted holds the listed versions that this router has noted.
	noted map[state.ServiceVersion]bool
	// fetched holds the noted versions that a peer told this router.
	fetched map[state.ServiceVersion]bool
	// failing is set after a failed attempt to note versions.
	failing bool
	// listed holds the versions in the list with the checksum listedSum, and unlisted the noted
	// versions that it lacks. Only maintain uses these.
	listed    map[state.ServiceVersion]bool
	listedSum uint64
	unlisted  map[state.ServiceVersion]unlistedVersion
	// reading is held during a read. next is the read that begins after it, or nil.
	reading sync.Mutex
	next    *versionRead
}

// unlistedVersion is a noted version that no server has.
type unlistedVersion struct {
	noted uint64
	since time.Time
}

func newVersionHistory(now time.Time, r *Router) *versionHistory {
	return &versionHistory{router: r, startedAt: now, noted: make(map[state.ServiceVersion]bool), unlisted: make(map[state.ServiceVersion]unlistedVersion)}
}

// versionsIn returns the versions of the servers in a list.
func versionsIn(list []placement.Server) map[state.ServiceVersion]bool {
	versions := make(map[state.ServiceVersion]bool)
	for _, s := range list {
		versions[state.ServiceVersion{Service: s.Service, Version: s.Version}] = true
	}
	return versions
}

// mark returns the list with the servers marked whose versions are known to be noted, and
// whether any mark is new.
func (h *versionHistory) mark(now time.Time, list []placement.Server) (marked []placement.Server, changed bool) {
	if !slices.ContainsFunc(list, func(s placement.Server) bool { return !s.Noted }) {
		return list, false
	}
	known := h.known(now)
	marked = slices.Clone(list)
	for i, s := range marked {
		if !s.Noted && known[state.ServiceVersion{Service: s.Service, Version: s.Version}] {
			marked[i].Noted, changed = true, true
		}
	}
	return marked, changed
}

// known returns the versions that are noted as far as this router knows: by itself, by its
// replica, and shortly after the start by a peer.
func (h *versionHistory) known(now time.Time) map[state.ServiceVersion]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := maps.Clone(h.noted)
	if now.Sub(h.startedAt) < fetchedFor {
		maps.Copy(known, h.fetched)
	}
	for _, version := range h.router.group.replicaVersions() {
		known[version.ServiceVersion] = true
	}
	return known
}

// setFetched sets the noted versions that a peer knows.
func (h *versionHistory) setFetched(versions []state.ServiceVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fetched == nil {
		h.fetched = make(map[state.ServiceVersion]bool)
	}
	for _, version := range versions {
		h.fetched[version] = true
	}
}

// note notes versions in the control group. Only maintain calls it.
func (h *versionHistory) note(ctx context.Context, versions []state.ServiceVersion) {
	if len(versions) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	err := h.router.group.propose(ctx, state.Command{At: time.Now(), NoteVersions: &state.NoteVersions{Versions: versions}}, peer.ZoneRevision{})
	wasFailing := h.failing
	h.failing = err != nil
	if err != nil {
		metrics.Count(metrics.EventVersionNotNoted)
		if !wasFailing {
			h.router.log.Warn("versions of servers not noted", "versions", versions, "error", err.Error())
		}
		return
	}
	h.router.log.Info("versions of servers noted", "versions", versions)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, version := range versions {
		h.noted[version] = true
	}
}

// maintain notes listed versions again that this router hasn't noted itself, so that the leader
// doesn't forget them, and makes the leader note what is missing and forget what is no longer
// listed.
func (h *versionHistory) maintain(ctx context.Context) {
	now := time.Now()
	list, readAt := h.router.list.current()
	if sum := h.router.list.checksum(); sum != h.listedSum || h.listed == nil {
		h.listed, h.listedSum = versionsIn(list), sum
	}
	listed := h.listed
	missingHere := h.notNotedHere(listed)
	if h.router.list.isOwn() {
		h.note(ctx, missingHere)
	}
	if _, isLeader := h.router.group.localLeader(now); !isLeader || now.Sub(readAt) > maxListGap {
		clear(h.unlisted)
		return
	}
	known := h.router.group.replicaVersions()
	missing := maps.Clone(listed)
	for _, version := range known {
		delete(missing, version.ServiceVersion)
	}
	h.note(ctx, slices.Collect(maps.Keys(missing)))
	for _, version := range h.expired(now, known, listed) {
		if err := h.forget(ctx, version); err != nil {
			h.router.log.Warn("version of servers not forgotten", "version", version.ServiceVersion, "error", err.Error())
		}
	}
}

// notNotedHere returns the listed versions that this router hasn't noted since they were listed.
func (h *versionHistory) notNotedHere(listed map[state.ServiceVersion]bool) []state.ServiceVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.noted, func(version state.ServiceVersion, _ bool) bool { return !listed[version] })
	var versions []state.ServiceVersion
	for version := range listed {
		if !h.noted[version] {
			versions = append(versions, version)
		}
	}
	return versions
}

// expired returns the known versions that weren't listed, nor noted again, for
// versionRetention.
func (h *versionHistory) expired(now time.Time, known []state.NotedVersion, listed map[state.ServiceVersion]bool) []state.NotedVersion {
	var expired []state.NotedVersion
	unlisted := make(map[state.ServiceVersion]unlistedVersion)
	for _, version := range known {
		if listed[version.ServiceVersion] {
			continue
		}
		before, ok := h.unlisted[version.ServiceVersion]
		if !ok || before.noted != version.Noted {
			before = unlistedVersion{version.Noted, now}
		}
		unlisted[version.ServiceVersion] = before
		if now.Sub(before.since) >= versionRetention {
			expired = append(expired, version)
		}
	}
	h.unlisted = unlisted
	return expired
}

func (h *versionHistory) forget(ctx context.Context, version state.NotedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	command := state.Command{At: time.Now(), ForgetVersion: &state.ForgetVersion{Version: version.ServiceVersion, Noted: version.Noted}}
	err := h.router.group.propose(ctx, command, peer.ZoneRevision{})
	if err == nil {
		h.router.log.Info("version of servers forgotten", "version", version.ServiceVersion)
	}
	return err
}

// versionRead is a linearizable read of the history that several requests share.
type versionRead struct {
	once     sync.Once
	versions []state.NotedVersion
	err      error
}

// soleVersion returns the version of a service's servers, if streams can't have begun at any
// other before the call.
func (h *versionHistory) soleVersion(ctx context.Context, service string) (placement.VersionKey, bool) {
	h.mu.Lock()
	if h.next == nil {
		h.next = new(versionRead)
	}
	read := h.next
	h.mu.Unlock()
	read.once.Do(func() { h.read(ctx, read) })
	if read.err != nil {
		h.router.log.Debug("history of versions not read", "error", read.err.Error())
		return 0, false
	}
	sole, found := placement.Server{}, false
	for _, version := range read.versions {
		if version.Service != service {
			continue
		}
		if found || version.Version == "" {
			return 0, false
		}
		sole, found = placement.Server{Service: service, Version: version.Version}, true
	}
	return sole.VersionKey(), found
}

// read performs a read. Requests that come after it has begun share the next one.
func (h *versionHistory) read(ctx context.Context, read *versionRead) {
	h.reading.Lock()
	defer h.reading.Unlock()
	h.mu.Lock()
	h.next = nil
	h.mu.Unlock()
	// The caller of the first request may disconnect.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamLookupTimeout)
	defer cancel()
	read.versions, read.err = h.router.group.NewestVersions(ctx)
}
