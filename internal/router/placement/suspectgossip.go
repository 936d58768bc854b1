package placement

import "time"

// Parameters of the gossip about suspects.
const (
	// maxGossipedSuspects limits the suspects in one digest.
	maxGossipedSuspects = 24
	// exposureGossipTime is how long a router gossips a crash that it has seen. It covers
	// several rounds, because a round reaches only some peers and digests get lost.
	exposureGossipTime = 2 * time.Second
	// refreshedSuspects is the number of older suspects in each digest, and
	// refreshedExposures the number of crashes of each. Routers that have just started learn
	// them from these.
	refreshedSuspects  = 2
	refreshedExposures = 4
)

// Suspect is what one router tells its peers of a suspect.
type Suspect struct {
	// Print is the fingerprint. The name is part of the wire format.
	Print Fingerprint
	// Crashes counts the crashes that the sender has seen itself, for earlier builds.
	Crashes int
	// Answered counts the sender's answers since the first crash.
	Answered int `msgpack:",omitempty"`
	// Exposures are crashes during requests with the suspect.
	Exposures []Exposure `msgpack:",omitempty"`
}

// Exposure is the compact form of a crash during a request with a suspect.
type Exposure struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Server   ServerKey
	// SentAge and LostAge are the times since the last such request was sent and since it
	// was lost.
	SentAge, LostAge time.Duration
	// Requests identify these requests.
	Requests []RequestTag
}

// ToGossip returns the suspects for the next digest: those in recent crashes, the answers
// for those with several crashes, and a few older ones in turn.
func (s *Suspects) ToGossip(now time.Time) []Suspect {
	var gossip []Suspect
	var older []Fingerprint
	for _, fingerprint := range s.byCrashes() {
		known := s.suspects[fingerprint]
		entry := Suspect{Print: fingerprint, Answered: known.answers}
		for _, e := range known.exposures {
			if !e.own {
				continue
			}
			entry.Crashes++
			if now.Sub(e.at) < exposureGossipTime {
				entry.Exposures = append(entry.Exposures, e.toGossip(now))
			}
		}
		recent := len(entry.Exposures) > 0 || known.answers > 0 && known.crashes() >= quarantineAfter-1
		if recent && len(gossip) < maxGossipedSuspects-refreshedSuspects {
			gossip = append(gossip, entry)
		} else if s.isQuarantinable(now, fingerprint) {
			older = append(older, fingerprint)
		}
	}
	for range min(refreshedSuspects, len(older)) {
		s.refreshIndex = (s.refreshIndex + 1) % len(older)
		known := s.suspects[older[s.refreshIndex]]
		entry := Suspect{Print: older[s.refreshIndex], Answered: known.answers}
		for _, e := range known.exposures[max(0, len(known.exposures)-refreshedExposures):] {
			entry.Exposures = append(entry.Exposures, e.toGossip(now))
		}
		gossip = append(gossip, entry)
	}
	return gossip
}

func (e exposure) toGossip(now time.Time) Exposure {
	return Exposure{Server: e.server, SentAge: now.Sub(e.sentAt), LostAge: now.Sub(e.at), Requests: e.requests}
}

// SetPeer stores what a peer gossips.
func (s *Suspects) SetPeer(now time.Time, peer string, suspects []Suspect) {
	if len(suspects) > 0 {
		s.expire(now)
	}
	for _, reported := range suspects {
		for _, e := range reported.Exposures {
			if e.LostAge < 0 || e.LostAge >= suspectMemory {
				continue
			}
			c := s.crashOf(now, e.Server, now.Add(-e.LostAge))
			s.expose(reported.Print, exposure{crash: c, sentAt: now.Add(-e.SentAge), requests: e.Requests})
		}
		if known, ok := s.suspects[reported.Print]; ok {
			known.setPeerAnswers(peer, reported.Answered)
		}
	}
}

func (s *suspect) setPeerAnswers(peer string, answers int) {
	if _, ok := s.peerAnswers[peer]; ok || len(s.peerAnswers) < maxPeerAnswers {
		s.peerAnswers[peer] = answers
	}
}
