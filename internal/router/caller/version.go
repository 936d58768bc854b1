package caller

import (
	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
)

// streamOrigin is what a router knows of the version at which a resumed stream began. It is 0 for
// requests that resume nothing.
type streamOrigin int

// Origins of a stream.
const (
	// originRecorded means that a record of the stream was found.
	originRecorded streamOrigin = iota + 1
	// originSole means that no record was found, but streams of the service began at one
	// version only.
	originSole
	// originUnknown means that no record was found, and streams may have begun at several
	// versions.
	originUnknown
)

var originNames = [...]string{"none", "recorded", "sole-version", "unknown"}

// String returns the name of the origin in logs.
func (o streamOrigin) String() string { return originNames[o] }

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
			e.version = version
			e.origin = originRecorded
			metrics.Count(metrics.EventResumedRecorded)
			return bronzerill.KindNone
		}
	}
	if version, found := e.findSoleVersion(); found {
		e.version = version
		e.origin = originSole
		metrics.Count(metrics.EventResumedSole)
		return bronzerill.KindNone
	}
	e.origin = originUnknown
	return bronzerill.KindUnknownStream
}

// findSoleVersion returns the version at which a stream without a record must have begun.
func (e *exchange) findSoleVersion() (placement.VersionKey, bool) {
	if !e.route.HasSoleService() || e.cfg.Servers.HasMixedVersions(e.start, e.service.Name) {
		return 0, false
	}
	return e.cfg.Streams.SoleVersion(e.r.Context(), e.service.Name)
}

// recordVersion binds the stream to the version of the server that sends its first event.
// The record is made before the caller receives that event, since the router may fail
// afterwards.
func (c *serverCall) recordVersion() {
	if c.version != 0 {
		return
	}
	c.version = c.choice.VersionKey()
	if c.route.Resumable {
		c.cfg.Streams.Began(c.cfg.Clock(), c.firstAttempt(), c.version)
	}
}
