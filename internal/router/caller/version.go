package caller

import (
	"sync/atomic"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
)

// streamVersion is the version of a stream. Timers read it in other goroutines.
type streamVersion struct{ key atomic.Uint32 }

func (v *streamVersion) get() placement.VersionKey { return placement.VersionKey(v.key.Load()) }

func (v *streamVersion) set(key placement.VersionKey) { v.key.Store(uint32(key)) }

// firstAttempt returns the ID of the caller's attempt with which the stream began.
func (e *exchange) firstAttempt() string {
	if e.request.Resumes != "" {
		return e.request.Resumes
	}
	return e.request.ID
}

// findVersion restricts a stream that the caller resumes to the version at which it
// began. If that is unknown, the stream may go on only if there is no other version.
func (e *exchange) findVersion() bronzerill.Kind {
	if e.route.Kind != declared.Stream || e.request.Resumes == "" && e.request.ResumeAfter == "" {
		return bronzerill.KindNone
	}
	metrics.Count(metrics.EventResumed)
	if e.request.Resumes != "" {
		if version, found := e.cfg.Streams.Version(e.r.Context(), e.start, e.request.Resumes); found {
			e.version.set(version)
			return bronzerill.KindNone
		}
	}
	if e.cfg.Servers.HasMixedVersions(e.start, e.service.Name) {
		return bronzerill.KindUnknownStream
	}
	return bronzerill.KindNone
}

// recordVersion binds the stream to the version of the server that sends its first event.
// The record is made before the caller receives that event, since the router may fail
// afterwards.
func (e *exchange) recordVersion() {
	if e.version.get() != 0 {
		return
	}
	e.version.set(e.choice.VersionKey())
	if e.route.Resumable {
		e.cfg.Streams.Began(e.cfg.Clock(), e.firstAttempt(), e.version.get())
	}
}
