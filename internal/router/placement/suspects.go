package placement

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of the table of suspects.
const (
	// maxSuspects limits the fingerprints in the table.
	maxSuspects = 4096
	// suspectLifetime is how long a crashed server counts against a request.
	suspectLifetime = 60 * time.Second
	// crashWindow is the time after a lost connection within which the server must
	// be found down for the loss to count as a crash.
	crashWindow = 2 * time.Second
	// quarantineAfter is the number of crashed servers after which a request is no
	// longer sent. A harmless request can lose one or two servers by chance.
	quarantineAfter = 3
	// maxGossipedSuspects limits the suspects in one digest.
	maxGossipedSuspects = 16
)

// Fingerprint identifies a request across retries. It is a hash of customer,
// method, path and body.
type Fingerprint uint64

// Suspect counts the servers that crashed while a request ran there.
type Suspect struct {
	// Print is the fingerprint of the request. The name is part of the wire format.
	Print   Fingerprint
	Crashes int
}

// crashCount is the number of crashes that one router counted for a fingerprint.
type crashCount struct {
	count int
	// updatedAt is the time of the last crash, or of the peer's report.
	updatedAt time.Time
}

// lostConnection is a connection that broke during a request.
type lostConnection struct {
	fingerprint Fingerprint
	server      string
	// lostAt is when the connection broke.
	lostAt time.Time
}

// Suspects counts crashed servers by request. Routers gossip their counts, so that
// the sum applies wherever a caller resends its request.
type Suspects struct {
	own *lru.Cache[Fingerprint, crashCount]
	// peers holds the counts of the peers, by the name of the peer.
	peers *lru.Cache[Fingerprint, map[string]crashCount]
	// pending holds lost connections whose servers have not been found down yet.
	pending []lostConnection
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	// The sizes are above 0, so no error is possible.
	own, _ := lru.New[Fingerprint, crashCount](maxSuspects)
	peers, _ := lru.New[Fingerprint, map[string]crashCount](maxSuspects)
	return &Suspects{own: own, peers: peers}
}

// ConnectionLost records that the connection to a server broke during a request.
func (s *Suspects) ConnectionLost(now time.Time, fingerprint Fingerprint, server string) {
	fresh := s.pending[:0]
	for _, l := range s.pending {
		if now.Sub(l.lostAt) < crashWindow {
			fresh = append(fresh, l)
		}
	}
	fresh = append(fresh, lostConnection{fingerprint, server, now})
	s.pending = fresh
	if len(s.pending) > maxSuspects {
		s.pending = s.pending[1:]
	}
}

// ServerDown records that a server was found down. Requests that recently lost a
// connection to it become suspects, and are returned.
func (s *Suspects) ServerDown(now time.Time, server string) []Fingerprint {
	var suspects []Fingerprint
	remaining := s.pending[:0]
	for _, l := range s.pending {
		if l.server != server {
			remaining = append(remaining, l)
			continue
		}
		if now.Sub(l.lostAt) < crashWindow {
			c, _ := s.own.Get(l.fingerprint)
			if now.Sub(c.updatedAt) >= suspectLifetime {
				c.count = 0
			}
			s.own.Add(l.fingerprint, crashCount{c.count + 1, now})
			suspects = append(suspects, l.fingerprint)
		}
	}
	s.pending = remaining
	return suspects
}

// SetPeer stores a peer's counts.
func (s *Suspects) SetPeer(now time.Time, peer string, suspects []Suspect) {
	for _, suspect := range suspects {
		counts, _ := s.peers.Get(suspect.Print)
		if counts == nil {
			counts = make(map[string]crashCount)
		}
		counts[peer] = crashCount{suspect.Crashes, now}
		s.peers.Add(suspect.Print, counts)
	}
}

// ToGossip returns this router's most recent counts for the next digest.
func (s *Suspects) ToGossip(now time.Time) []Suspect {
	var suspects []Suspect
	fingerprints := s.own.Keys()
	for i := len(fingerprints) - 1; i >= 0 && len(suspects) < maxGossipedSuspects; i-- {
		if c, ok := s.own.Peek(fingerprints[i]); ok && now.Sub(c.updatedAt) < suspectLifetime {
			suspects = append(suspects, Suspect{fingerprints[i], c.count})
		}
	}
	return suspects
}

// IsQuarantined reports whether a request has crashed too many servers.
func (s *Suspects) IsQuarantined(now time.Time, fingerprint Fingerprint) bool {
	crashes := 0
	if c, ok := s.own.Peek(fingerprint); ok && now.Sub(c.updatedAt) < suspectLifetime {
		crashes += c.count
	}
	counts, _ := s.peers.Peek(fingerprint)
	for _, c := range counts {
		if now.Sub(c.updatedAt) < suspectLifetime {
			crashes += c.count
		}
	}
	return crashes >= quarantineAfter
}
