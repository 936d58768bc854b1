package state

import (
	"time"

	"bronzerill"
)

// Limits and durations of the suspect table.
const (
	// HoldTime is how long a suspect is held for a trial before it is released.
	HoldTime = 10 * time.Minute
	// QuarantineTime is how long a quarantined request is refused.
	QuarantineTime = 24 * time.Hour
	// crashesToQuarantine is the number of servers that one request may crash
	// before it is quarantined.
	crashesToQuarantine  = 2
	maxSuspects          = 4096
	maxCrashFingerprints = 256
)

// Crash reports the requests that ran on a backend server when it crashed.
type Crash struct {
	Pool  string `msgpack:"p"`
	Agent string `msgpack:"a"`
	// ID is unique for each crash, so that a duplicate report counts only once for
	// each fingerprint.
	ID           string   `msgpack:"i"`
	Fingerprints []string `msgpack:"f"`
}

// Trial requests to run a suspect alone on one server.
type Trial struct {
	Fingerprint string `msgpack:"f"`
	Agent       string `msgpack:"a"`
}

// Verdict ends a trial that did not crash its server.
type Verdict struct {
	Fingerprint string `msgpack:"f"`
	Agent       string `msgpack:"a"`
	// Cleared is false if the trial was inconclusive.
	Cleared bool `msgpack:"c"`
}

// ClearSuspect releases a suspect at the request of an operator.
type ClearSuspect struct {
	Fingerprint string `msgpack:"f"`
}

// crashChanges returns the changes of suspects after a crash: new suspects, and
// known ones with a higher crash count. If a trial ran on the server, only the
// request on trial is blamed.
func crashChanges(c *bronzerill.Config, now time.Time, crash Crash) bronzerill.Changes {
	fingerprints := crash.Fingerprints
	if len(fingerprints) > maxCrashFingerprints {
		fingerprints = fingerprints[:maxCrashFingerprints]
	}
	for _, s := range c.Suspects() {
		if s.State == bronzerill.SuspectTrial && s.Agent == crash.Agent {
			return bronzerill.Changes{Suspects: []bronzerill.Suspect{quarantined(now, s)}}
		}
	}
	var changes bronzerill.Changes
	for _, fingerprint := range fingerprints {
		s, known := c.Suspect(fingerprint)
		if !known {
			s = bronzerill.Suspect{Name: fingerprint, Pool: crash.Pool, State: bronzerill.SuspectHeld, Expiry: now.Add(HoldTime)}
		}
		if s.LastCrash == crash.ID || s.State == bronzerill.SuspectQuarantined {
			continue
		}
		s.LastCrash = crash.ID
		s.Crashes++
		if s.Crashes >= crashesToQuarantine {
			s = quarantined(now, s)
		}
		changes.Suspects = append(changes.Suspects, s)
	}
	changes.Removals = evictHeld(c, len(changes.Suspects))
	return changes
}

// quarantined returns a copy of s whose quarantine starts now.
func quarantined(now time.Time, s bronzerill.Suspect) bronzerill.Suspect {
	s.State = bronzerill.SuspectQuarantined
	s.Crashes = crashesToQuarantine
	s.Agent = ""
	s.Expiry = now.Add(QuarantineTime)
	return s
}

// evictHeld returns the held suspects to release so that the table has space for
// the added ones. Suspects on trial or in quarantine stay.
func evictHeld(c *bronzerill.Config, added int) []bronzerill.Removal {
	excess := c.SuspectCount() + added - maxSuspects
	if excess <= 0 {
		return nil
	}
	var removals []bronzerill.Removal
	for _, s := range c.Suspects() {
		if len(removals) == excess {
			break
		}
		if s.State == bronzerill.SuspectHeld {
			removals = append(removals, suspectRemoval(s.Name))
		}
	}
	return removals
}

func suspectRemoval(fingerprint string) bronzerill.Removal {
	return bronzerill.Removal{Kind: bronzerill.EntitySuspect, Name: fingerprint}
}

// trialChanges grants a trial if the suspect is held and no other trial runs in
// its pool. Otherwise the kind is the reason for the refusal.
func trialChanges(c *bronzerill.Config, t Trial) (bronzerill.Changes, bronzerill.Kind) {
	s, ok := c.Suspect(t.Fingerprint)
	switch {
	case !ok:
		return bronzerill.Changes{}, bronzerill.KindAborted
	case s.State == bronzerill.SuspectQuarantined:
		return bronzerill.Changes{}, bronzerill.KindQuarantined
	case s.State == bronzerill.SuspectTrial && s.Agent == t.Agent:
		// The agent repeats its request because the first reply was lost.
		return bronzerill.Changes{}, bronzerill.KindNone
	case s.State == bronzerill.SuspectTrial:
		return bronzerill.Changes{}, bronzerill.KindSuspect
	}
	for _, other := range c.Suspects() {
		if other.Pool == s.Pool && other.State == bronzerill.SuspectTrial {
			return bronzerill.Changes{}, bronzerill.KindSuspect
		}
	}
	s.State = bronzerill.SuspectTrial
	s.Agent = t.Agent
	return bronzerill.Changes{Suspects: []bronzerill.Suspect{s}}, bronzerill.KindNone
}

// lostTrials returns the changes that quarantine the suspects on trial on a lost
// agent.
func lostTrials(c *bronzerill.Config, now time.Time, agent string) bronzerill.Changes {
	var changes bronzerill.Changes
	for _, s := range c.Suspects() {
		if s.State == bronzerill.SuspectTrial && s.Agent == agent {
			changes.Suspects = append(changes.Suspects, quarantined(now, s))
		}
	}
	return changes
}

// expiredSuspects returns the removals of suspects past their expiry. Suspects on
// trial stay.
func expiredSuspects(c *bronzerill.Config, now time.Time) bronzerill.Changes {
	var changes bronzerill.Changes
	for _, s := range c.Suspects() {
		if s.State != bronzerill.SuspectTrial && now.After(s.Expiry) {
			changes.Removals = append(changes.Removals, suspectRemoval(s.Name))
		}
	}
	return changes
}
