package placing

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the table of requests that crash servers.
const (
	// maxSuspects bounds the fingerprints that are remembered.
	maxSuspects = 4096
	// suspectFor is how long a lost server counts against a request.
	suspectFor = 60 * time.Second
	// crashSign is the time after a lost connection within which the server must
	// be found gone for the loss to count as a crash.
	crashSign = 2 * time.Second
	// quarantineAfter is the number of lost servers after which a request isn't
	// sent any more. Chance lets a sound request lose one or two.
	quarantineAfter = 3
	// maxToldSuspects bounds the suspects in one digest.
	maxToldSuspects = 16
)

// Fingerprint identifies a request however often it is sent: a hash of customer,
// method, path and body.
type Fingerprint uint64

// Suspect says how many servers crashed while a request ran there.
type Suspect struct {
	Print   Fingerprint
	Crashes int
}

// crash is what one router knows of a fingerprint.
type crash struct {
	count int
	at    time.Time
}

// lost is a connection that broke while a request was under way.
type lost struct {
	print  Fingerprint
	server string
	at     time.Time
}

// Suspects counts crashed servers by request. Routers tell each other their
// counts, so that the sum holds wherever a caller sends its request again.
type Suspects struct {
	own     *lru.Cache[Fingerprint, crash]
	peers   *lru.Cache[Fingerprint, map[string]crash]
	pending []lost
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	// The sizes are above 0, so no error is possible.
	own, _ := lru.New[Fingerprint, crash](maxSuspects)
	peers, _ := lru.New[Fingerprint, map[string]crash](maxSuspects)
	return &Suspects{own: own, peers: peers}
}

// ConnectionLost notes that the connection to a server broke while it ran a request.
func (s *Suspects) ConnectionLost(now time.Time, print Fingerprint, server string) {
	kept := s.pending[:0]
	for _, l := range s.pending {
		if now.Sub(l.at) < crashSign {
			kept = append(kept, l)
		}
	}
	kept = append(kept, lost{print, server, now})
	s.pending = kept
	if len(s.pending) > maxSuspects {
		s.pending = s.pending[1:]
	}
}

// ServerDown notes that a server was found gone: what was lost there is suspect.
func (s *Suspects) ServerDown(now time.Time, server string) {
	kept := s.pending[:0]
	for _, l := range s.pending {
		if l.server != server {
			kept = append(kept, l)
			continue
		}
		if now.Sub(l.at) < crashSign {
			c, _ := s.own.Get(l.print)
			if now.Sub(c.at) >= suspectFor {
				c.count = 0
			}
			s.own.Add(l.print, crash{c.count + 1, now})
		}
	}
	s.pending = kept
}

// SetPeer takes a neighbour's counts.
func (s *Suspects) SetPeer(now time.Time, peer string, told []Suspect) {
	for _, t := range told {
		known, _ := s.peers.Get(t.Print)
		if known == nil {
			known = make(map[string]crash)
		}
		known[peer] = crash{t.Crashes, now}
		s.peers.Add(t.Print, known)
	}
}

// ToGossip returns the counts of this router for a digest, the newest ones.
func (s *Suspects) ToGossip(now time.Time) []Suspect {
	var told []Suspect
	prints := s.own.Keys()
	for i := len(prints) - 1; i >= 0 && len(told) < maxToldSuspects; i-- {
		if c, ok := s.own.Peek(prints[i]); ok && now.Sub(c.at) < suspectFor {
			told = append(told, Suspect{prints[i], c.count})
		}
	}
	return told
}

// IsQuarantined reports whether a request has crashed too many servers.
func (s *Suspects) IsQuarantined(now time.Time, print Fingerprint) bool {
	crashes := 0
	if c, ok := s.own.Peek(print); ok && now.Sub(c.at) < suspectFor {
		crashes += c.count
	}
	known, _ := s.peers.Peek(print)
	for _, c := range known {
		if now.Sub(c.at) < suspectFor {
			crashes += c.count
		}
	}
	return crashes >= quarantineAfter
}
