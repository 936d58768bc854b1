package router

import (
	"time"

	"bronzerill/internal/operator/metrics"
)

// behindLogAge is the time that a router may lack a newer declared state of its peers before it logs that, and the
// time between two log lines.
const behindLogAge = time.Second

// behindState records that peers have a newer declared state than this router. It is immutable.
type behindState struct {
	// heard is the highest revision in a digest, and from the peer that sent it. It is 0 if the router has that state.
	heard uint64
	from  string
	// since is when the first digest with a revision arrived that the router still lacks.
	since    time.Time
	loggedAt time.Time
}

// withHeard returns the record with a revision that a peer has and this router lacks.
func (b behindState) withHeard(now time.Time, revision uint64, from string) behindState {
	if b.heard == 0 {
		b.since = now
	}
	if revision > b.heard {
		b.heard, b.from = revision, from
	}
	return b
}

// withRevision returns the record after the router has taken a revision.
func (b behindState) withRevision(revision uint64) behindState {
	if revision >= b.heard {
		return behindState{}
	}
	return b
}

// noteHeard records that a peer has a newer declared state.
func (h *stateHolder) noteHeard(now time.Time, revision uint64, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision > h.state.Revision {
		h.behind = h.behind.withHeard(now, revision, from)
	}
}

// logBehind logs that this router has lacked a newer state of its peers for a while.
func (h *stateHolder) logBehind(now time.Time) {
	h.mu.Lock()
	b, revision := h.behind, h.state.Revision
	due := b.heard > 0 && now.Sub(b.since) >= behindLogAge && now.Sub(b.loggedAt) >= behindLogAge
	if due {
		h.behind.loggedAt = now
	}
	h.mu.Unlock()
	if due {
		metrics.Count(metrics.EventStateBehind)
		h.log.Warn("declared state is behind", "revision", revision, "heard", b.heard, "from", b.from, "ms", now.Sub(b.since).Milliseconds())
	}
}
