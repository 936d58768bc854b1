package placement

import (
	"slices"
	"time"
)

// Parameters of the quarantine.
const (
	// quarantineAfter is the number of crashes after which requests with a suspect are no
	// longer sent. A harmless request can lose one or two servers by chance.
	quarantineAfter = 3
	// ambiguousAfter is the number of crashes after which that also holds for a suspect that
	// can't be told apart from others in the same crashes.
	ambiguousAfter = 5
	// maxQuarantineDoublings limits the length of a quarantine.
	maxQuarantineDoublings = 6
	// suspectMemory is how long after its last crash a suspect is quarantined again by a
	// single crash. It exceeds the longest quarantine.
	suspectMemory = 2 * time.Hour
	// trialInterval is the time between two requests on probation.
	trialInterval = 5 * time.Second
)

// Quarantine is the decision on a request: it isn't sent because of one of its fingerprints.
type Quarantine struct {
	Suspect Fingerprint
	// Until is the end of the quarantine. After it the suspect is on probation: single
	// requests are sent until it proves to be sound or crashes another server.
	Until time.Time
}

// check returns the quarantine that applies to a request with these fingerprints.
//
// A request on a server that crashes may only have been there by chance, or share other parts
// with the culprit. So a suspect counts only together with its companions, which were lost
// in each of its crashes and never answered since: which of them is the culprit is unknown
// until one is answered, or crashes a server, without the other.
func (s *Suspects) check(now time.Time, fingerprints []Fingerprint) (Quarantine, bool) {
	var applied Quarantine
	fewestAnswers := 0
	for _, fingerprint := range fingerprints {
		known, ok := s.suspects[fingerprint]
		if !ok || !s.isQuarantinable(now, fingerprint) {
			continue
		}
		crashes := known.crashes()
		until := known.lastCrash().Add(suspectLifetime << min(crashes-quarantineAfter, maxQuarantineDoublings))
		switch s.missingCompanion(fingerprint, fingerprints) {
		case withinRequest:
			continue
		case withinCrash:
			if crashes < ambiguousAfter {
				continue
			}
			until = known.lastCrash().Add(trialInterval << min(crashes-ambiguousAfter, maxQuarantineDoublings))
		case noCompanion:
		}
		// Parts that came with the culprit may have been answered a few times.
		answers := known.allAnswers()
		if until.After(applied.Until) || until.Equal(applied.Until) && answers < fewestAnswers {
			applied, fewestAnswers = Quarantine{fingerprint, until}, answers
		}
	}
	return applied, !applied.Until.IsZero()
}

// isQuarantinable reports whether a suspect has crashed too many servers.
func (s *Suspects) isQuarantinable(now time.Time, fingerprint Fingerprint) bool {
	known := s.suspects[fingerprint]
	return known.crashes() >= quarantineAfter && now.Sub(known.lastCrash()) < suspectMemory && !known.isSound()
}

// companionship states how close a companion of a suspect is.
type companionship int

// The companionships, the closest last.
const (
	noCompanion companionship = iota
	// withinCrash is a companion that was lost in the same crashes, in other requests.
	withinCrash
	// withinRequest is a companion that all lost requests with the suspect held.
	withinRequest
)

// missingCompanion returns the closest companionship of the suspect's companions that a
// request lacks.
func (s *Suspects) missingCompanion(fingerprint Fingerprint, fingerprints []Fingerprint) companionship {
	exposures := s.suspects[fingerprint].exposures
	closest := noCompanion
	for _, companion := range exposures[0].suspects {
		known := s.suspects[companion]
		if companion != fingerprint && !slices.Contains(fingerprints, companion) && known.allAnswers() == 0 {
			closest = max(closest, known.companionOf(exposures))
		}
	}
	return closest
}

// companionOf returns how close the suspect is to another one with these exposures.
func (s *suspect) companionOf(exposures []exposure) companionship {
	closeness := withinRequest
	for _, e := range exposures {
		i := s.exposedTo(e.crash)
		if i < 0 {
			return noCompanion
		}
		if slices.ContainsFunc(e.requests, func(tag RequestTag) bool { return !slices.Contains(s.exposures[i].requests, tag) }) {
			closeness = withinCrash
		}
	}
	return closeness
}

// Quarantine returns the quarantine because of which a request must not be sent, if there is
// one. After a quarantine, one router sends single requests.
func (t *Table) Quarantine(now time.Time, fingerprints ...Fingerprint) (Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.suspects.check(now, fingerprints)
	if !ok || now.Before(q.Until) {
		return q, ok
	}
	if t.isChosenRouter(uint64(q.Suspect), 1) && now.Sub(t.trialAt) >= trialInterval {
		t.trialAt = now
		return Quarantine{}, false
	}
	q.Until = now.Add(trialInterval)
	return q, true
}
