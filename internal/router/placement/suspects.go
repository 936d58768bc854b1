package placement

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the table of suspects.
const (
	// suspectLifetime is how long a crash counts against its suspects, and the length of
	// the first quarantine.
	suspectLifetime = 60 * time.Second
	// crashWindow is the time after a lost connection within which the server must
	// be found down for the loss to count as a crash.
	crashWindow = 2 * time.Second
	// maxCrashes and maxCrashSuspects limit the crashes in the table and the suspects of
	// each. Requests that a loaded engine hasn't begun to answer hold fewer suspects.
	maxCrashes       = 32
	maxCrashSuspects = 32
	// maxExposureRequests limits the recorded requests with a suspect that were lost in one
	// crash.
	maxExposureRequests = 4
	// maxPeerAnswers limits the peers whose answers are counted for one suspect.
	maxPeerAnswers = 64
	// maxSuspects limits the suspects in the table, and the lost connections whose servers
	// have not been found down yet.
	maxSuspects = maxCrashes * maxCrashSuspects
)

// Fingerprint identifies what requests may have in common: the hash of a whole request,
// which stays the same when it is sent again, or the ID of a part of a prompt.
type Fingerprint uint64

// LostRequest is a request whose connection broke before its answer had begun.
type LostRequest struct {
	// Server identifies the server process.
	Server string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Request is the fingerprint of the whole request, and Parts those of its prompt.
	Request Fingerprint
	Parts   []Fingerprint
}

// lostConnection is a lost request and the time of its loss.
type lostConnection struct {
	LostRequest
	lostAt time.Time
}

// crash is the crash of one server process.
type crash struct {
	server ServerKey
	at     time.Time
	// suspects are the fingerprints of the requests that were lost. There are at most
	// maxCrashSuspects.
	suspects []Fingerprint
}

// exposure is a crash during a request with a suspect.
type exposure struct {
	*crash
	// sentAt is when the last such request was sent.
	sentAt time.Time
	// own is set if this router sent such a request.
	own bool
	// requests identify these requests. There are at most maxExposureRequests.
	requests []RequestTag
}

// RequestTag is a short hash of a request. It tells the requests of one crash apart.
type RequestTag uint32

// merge adds another report of the same crash.
func (e *exposure) merge(other exposure) {
	e.own = e.own || other.own
	e.sentAt = latest(e.sentAt, other.sentAt)
	for _, tag := range other.requests {
		if len(e.requests) < maxExposureRequests && !slices.Contains(e.requests, tag) {
			e.requests = append(e.requests, tag)
		}
	}
}

// suspect is what is known of a fingerprint that was lost in a crash.
type suspect struct {
	// exposures are sorted by the times of the crashes. There is at least one.
	exposures []exposure
	// answers and peerAnswers count the answers since the first crash, of this router and
	// by the name of the peer. There are at most maxPeerAnswers peers.
	answers     int
	peerAnswers map[string]int
}

// crashes returns the number of crashes that count against the suspect. A crash counts only
// if a request was sent after the previous one: servers that fail together for another
// reason lose many requests with the same part at the same time.
func (s *suspect) crashes() int {
	n := 0
	var last time.Time
	for _, e := range s.exposures {
		if !e.sentAt.Before(last) {
			n++
			last = e.at
		}
	}
	return n
}

// allAnswers returns the answers of all routers since the first crash.
func (s *suspect) allAnswers() int {
	answers := s.answers
	for _, n := range s.peerAnswers {
		answers += n
	}
	return answers
}

// isSound reports whether requests with the suspect are answered at least as often as
// servers crash under them.
func (s *suspect) isSound() bool { return s.allAnswers() >= s.crashes() }

func (s *suspect) lastCrash() time.Time { return s.exposures[len(s.exposures)-1].at }

// exposedTo returns the position of a crash in the exposures, or -1.
func (s *suspect) exposedTo(c *crash) int {
	return slices.IndexFunc(s.exposures, func(e exposure) bool { return e.crash == c })
}

// Suspects records which requests were lost in crashes of servers. Routers gossip what
// they have seen, so that a quarantine applies wherever a caller sends a request.
type Suspects struct {
	suspects map[Fingerprint]*suspect
	// crashes is sorted by time.
	crashes []*crash
	// pending holds lost connections whose servers have not been found down yet.
	pending []lostConnection
	// refreshIndex is the position in the gossip of quarantined suspects.
	refreshIndex int
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{suspects: make(map[Fingerprint]*suspect)}
}

// ConnectionLost records that the connection to a server broke during a request.
func (s *Suspects) ConnectionLost(now time.Time, lost LostRequest) {
	s.pending = slices.DeleteFunc(s.pending, func(l lostConnection) bool { return now.Sub(l.lostAt) >= crashWindow })
	if len(s.pending) >= maxSuspects {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, lostConnection{lost, now})
}

// ServerDown records that a server was found down. The fingerprints of requests that
// recently lost a connection to it become suspects, and are returned.
func (s *Suspects) ServerDown(now time.Time, server string) []Fingerprint {
	s.expire(now)
	var found []Fingerprint
	s.pending = slices.DeleteFunc(s.pending, func(l lostConnection) bool {
		if l.Server != server {
			return false
		}
		if now.Sub(l.lostAt) >= crashWindow {
			return true
		}
		c := s.crashOf(now, KeyOf(server), l.lostAt)
		e := exposure{crash: c, sentAt: l.SentAt, own: true, requests: []RequestTag{RequestTag(l.Request)}}
		for _, fingerprint := range append([]Fingerprint{l.Request}, l.Parts...) {
			if s.expose(fingerprint, e) {
				found = append(found, fingerprint)
			}
		}
		return true
	})
	return found
}

// Answered records that a server answered a request with these fingerprints.
func (s *Suspects) Answered(fingerprints []Fingerprint) {
	for _, fingerprint := range fingerprints {
		if known, ok := s.suspects[fingerprint]; ok {
			known.answers++
		}
	}
}

// crashOf returns the record of a crash. Reports of several routers have slightly different
// times. A server may start again under the same ID, but not within crashWindow.
func (s *Suspects) crashOf(now time.Time, server ServerKey, at time.Time) *crash {
	for _, c := range s.crashes {
		if c.server == server && c.at.Sub(at).Abs() < crashWindow {
			return c
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.remove(now, s.leastUseful(now))
	}
	c := &crash{server: server, at: at}
	i, _ := slices.BinarySearchFunc(s.crashes, at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	s.crashes = slices.Insert(s.crashes, i, c)
	return c
}

// leastUseful returns the oldest crash that no quarantine depends on, or the oldest one.
func (s *Suspects) leastUseful(now time.Time) *crash {
	for _, c := range s.crashes {
		if !slices.ContainsFunc(c.suspects, func(fingerprint Fingerprint) bool { return s.isQuarantinable(now, fingerprint) }) {
			return c
		}
	}
	return s.crashes[0]
}

// expose records that requests with a suspect were lost in a crash. It reports whether this
// router's own loss is new.
func (s *Suspects) expose(fingerprint Fingerprint, e exposure) bool {
	known := s.suspects[fingerprint]
	if known != nil {
		if i := known.exposedTo(e.crash); i >= 0 {
			isNew := e.own && !known.exposures[i].own
			known.exposures[i].merge(e)
			return isNew
		}
	}
	if len(e.suspects) >= maxCrashSuspects {
		return false
	}
	if known == nil {
		known = &suspect{peerAnswers: make(map[string]int)}
		s.suspects[fingerprint] = known
	}
	c := e.crash
	c.suspects = append(c.suspects, fingerprint)
	e.requests = slices.Clone(e.requests[:min(len(e.requests), maxExposureRequests)])
	known.exposures = append(known.exposures, e)
	slices.SortStableFunc(known.exposures, func(a, b exposure) int { return a.at.Compare(b.at) })
	return e.own
}

// expire removes crashes that no longer count against any suspect.
func (s *Suspects) expire(now time.Time) {
	for _, c := range slices.Clone(s.crashes) {
		if now.Sub(c.at) < suspectLifetime {
			return
		}
		s.remove(now, c)
	}
}

// remove removes a crash. If it has expired, suspects on probation keep it as a former
// crash, so that a further one quarantines them again.
func (s *Suspects) remove(now time.Time, c *crash) {
	expired := now.Sub(c.at) >= suspectLifetime
	c.suspects = slices.DeleteFunc(c.suspects, func(fingerprint Fingerprint) bool {
		known := s.suspects[fingerprint]
		if expired && s.isQuarantinable(now, fingerprint) {
			return false
		}
		if i := known.exposedTo(c); i >= 0 {
			known.exposures = slices.Delete(known.exposures, i, i+1)
		}
		if len(known.exposures) == 0 {
			delete(s.suspects, fingerprint)
		}
		return true
	})
	if len(c.suspects) == 0 || !expired {
		s.crashes = slices.DeleteFunc(s.crashes, func(other *crash) bool { return other == c })
	}
}

// byCrashes returns the fingerprints of all suspects, those with the most crashes first.
func (s *Suspects) byCrashes() []Fingerprint {
	fingerprints := make([]Fingerprint, 0, len(s.suspects))
	counts := make(map[Fingerprint]int, len(s.suspects))
	for fingerprint, known := range s.suspects {
		fingerprints = append(fingerprints, fingerprint)
		counts[fingerprint] = known.crashes()
	}
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return fingerprints
}
