package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func lostRequest(sentAt time.Time, server string, fingerprints ...Fingerprint) LostRequest {
	return LostRequest{Server: server, SentAt: sentAt, Request: fingerprints[0], Parts: fingerprints[1:]}
}

// IsQuarantined reports whether requests with these fingerprints have crashed too many
// servers.
func (s *Suspects) IsQuarantined(now time.Time, fingerprints ...Fingerprint) bool {
	q, ok := s.check(now, fingerprints)
	return ok && now.Before(q.Until)
}

func isQuarantined(table *Table, now time.Time, fingerprints ...Fingerprint) bool {
	_, quarantined := table.Quarantine(now, fingerprints...)
	return quarantined
}

func TestQuarantineSumsCrashesOfAllRouters(t *testing.T) {
	a, b := NewSuspects(), NewSuspects()
	now := start
	for i, router := range []*Suspects{a, b, a} {
		require.False(t, b.IsQuarantined(now, 7), "after %d crashes", i)
		server := string(rune('x' + i))
		router.ConnectionLost(now, lostRequest(now, server, 7))
		router.ServerDown(now.Add(time.Second), server)
		a.SetPeer(now, "b", b.ToGossip(now.Add(time.Second)))
		b.SetPeer(now, "a", a.ToGossip(now.Add(time.Second)))
		now = now.Add(2 * time.Second)
	}
	require.True(t, a.IsQuarantined(now, 7))
	require.True(t, b.IsQuarantined(now, 7))
	require.False(t, a.IsQuarantined(now, 8))
	require.False(t, a.IsQuarantined(now.Add(suspectLifetime), 7), "the quarantine expires")
}

func TestLostConnectionToRunningServerIsNoCrash(t *testing.T) {
	s := NewSuspects()
	for range 10 {
		s.ConnectionLost(start, lostRequest(start, "x", 7))
	}
	s.ServerDown(start.Add(crashWindow), "x")
	s.ServerDown(start, "y")
	require.False(t, s.IsQuarantined(start, 7))
}

func TestSuspectsStayBounded(t *testing.T) {
	s := NewSuspects()
	for fingerprint := range Fingerprint(3 * maxSuspects) {
		s.ConnectionLost(start, lostRequest(start, "x", fingerprint))
		s.ServerDown(start, "x")
	}
	require.LessOrEqual(t, len(s.suspects), maxSuspects)
	require.LessOrEqual(t, len(s.ToGossip(start)), maxGossipedSuspects)
	suspects := s.ToGossip(start)
	require.NotEmpty(t, suspects)
	for i := range 3 * maxPeerAnswers {
		s.SetPeer(start, strconv.Itoa(i), suspects)
	}
	require.Len(t, s.suspects[suspects[0].Print].peerAnswers, maxPeerAnswers)
}

// TestTableQuarantinesCrashingRequest calls the table as a caller's request does.
func TestTableQuarantinesCrashingRequest(t *testing.T) {
	table := newTable("a", list("desk", 6))
	now := start
	for range quarantineAfter {
		require.False(t, isQuarantined(table, now, 7))
		choice, err := table.Pick(now, query(deskService, 0))
		require.NoError(t, err)
		table.ConnectionLost(now, choice, 7)
		table.Finish(now, choice, "r", OutcomeFailed, 0)
		table.Finish(now.Add(100*time.Millisecond), choice, "r", OutcomeUnreachable, 0)
		now = now.Add(3 * time.Second)
	}
	require.True(t, isQuarantined(table, now, 7))
}

// crashes is a table of suspects with a helper that lets servers crash one after the other.
type crashes struct {
	*Suspects
	now     time.Time
	servers int
}

func newCrashes() *crashes { return &crashes{Suspects: NewSuspects(), now: start} }

// crash lets the next server crash while it runs requests with these fingerprints.
func (c *crashes) crash(requests ...[]Fingerprint) {
	c.servers++
	server := "server-" + strconv.Itoa(c.servers)
	sentAt := c.now
	c.now = c.now.Add(100 * time.Millisecond)
	for _, fingerprints := range requests {
		c.ConnectionLost(c.now, lostRequest(sentAt, server, fingerprints...))
	}
	c.ServerDown(c.now, server)
	c.now = c.now.Add(100 * time.Millisecond)
}

const (
	common Fingerprint = iota + 1
	deadly
	companion
	bystander
	unique
)

func TestDeadlyPartIsQuarantinedWhateverElseTheRequestHolds(t *testing.T) {
	c := newCrashes()
	for i := range Fingerprint(3) {
		c.Answered([]Fingerprint{common})
		require.False(t, c.IsQuarantined(c.now, unique+i, common, deadly))
		c.crash([]Fingerprint{unique + i, common, deadly, 100 + i}, []Fingerprint{200 + i, common})
		c.Answered([]Fingerprint{common})
	}
	require.True(t, c.IsQuarantined(c.now, 50, deadly))
	require.True(t, c.IsQuarantined(c.now, 51, common, deadly, 400))
	require.False(t, c.IsQuarantined(c.now, 52, common))
	require.False(t, c.IsQuarantined(c.now, 53, common, 101))
}

func TestSoundCompanionOfDeadlyPartStaysServed(t *testing.T) {
	c := newCrashes()
	for i := range Fingerprint(6) {
		c.crash([]Fingerprint{unique + i, companion, deadly})
	}
	require.True(t, c.IsQuarantined(c.now, 50, companion, deadly))
	require.False(t, c.IsQuarantined(c.now, 51, companion), "unknown which of the two is deadly")
	require.False(t, c.IsQuarantined(c.now, 52, deadly), "unknown which of the two is deadly")
	c.crash([]Fingerprint{52, deadly})
	require.True(t, c.IsQuarantined(c.now, 53, deadly), "it crashed a server without the companion")
	require.False(t, c.IsQuarantined(c.now, 54, companion))
}

// The sound part is lost with each crash and not answered for long.
func TestBystanderOfTooManyCrashesIsOnProbation(t *testing.T) {
	c := newCrashes()
	for i := range Fingerprint(6) {
		c.crash([]Fingerprint{unique + i, common, deadly}, []Fingerprint{30 + i, common, bystander})
		c.Answered([]Fingerprint{common})
	}
	require.True(t, c.IsQuarantined(c.now, 50, common, deadly, bystander))
	require.True(t, c.IsQuarantined(c.now, 51, common, deadly), "they can't be told apart, but too many servers have crashed")
	c.Answered([]Fingerprint{common, bystander})
	require.False(t, c.IsQuarantined(c.now, 52, common, 31))
	c.now = c.now.Add(trialInterval << 1)
	require.False(t, c.IsQuarantined(c.now, 53, common, bystander), "on probation")
	require.True(t, c.IsQuarantined(c.now, 54, common, deadly), "told apart by the answer")
}

// The sound part is lost in each crash, in other requests than the deadly one.
func TestRareBystanderStaysServedBeforeTooManyCrashes(t *testing.T) {
	c := newCrashes()
	for i := range Fingerprint(ambiguousAfter - 1) {
		c.crash([]Fingerprint{unique + i, common, deadly}, []Fingerprint{30 + i, common, bystander})
		c.Answered([]Fingerprint{common})
	}
	require.False(t, c.IsQuarantined(c.now, 51, common, bystander))
	c.Answered([]Fingerprint{common, bystander})
	require.True(t, c.IsQuarantined(c.now, 50, common, deadly))
	require.False(t, c.IsQuarantined(c.now, 52, common, bystander))
}

func TestServersThatFailTogetherMakeNoSuspects(t *testing.T) {
	s := NewSuspects()
	for _, server := range []string{"x", "y", "z", "u", "v"} {
		s.ConnectionLost(start.Add(time.Second), lostRequest(start, server, common, unique))
		s.ServerDown(start.Add(time.Second), server)
	}
	require.False(t, s.IsQuarantined(start.Add(time.Second), common, unique))
}

func TestAnswersEndQuarantine(t *testing.T) {
	c := newCrashes()
	for range quarantineAfter {
		c.crash([]Fingerprint{common})
	}
	require.True(t, c.IsQuarantined(c.now, common))
	for range quarantineAfter {
		c.Answered([]Fingerprint{common})
	}
	require.False(t, c.IsQuarantined(c.now, common))
}

func TestQuarantineDoublesWithEachFurtherCrash(t *testing.T) {
	c := newCrashes()
	for range quarantineAfter {
		c.crash([]Fingerprint{deadly})
	}
	for length := suspectLifetime; length <= 4*suspectLifetime; length *= 2 {
		lastCrash := c.now.Add(-100 * time.Millisecond)
		require.True(t, c.IsQuarantined(lastCrash.Add(length-time.Millisecond), deadly))
		c.now = lastCrash.Add(length)
		require.False(t, c.IsQuarantined(c.now, deadly))
		c.crash([]Fingerprint{deadly})
	}
}

func TestOneRouterTriesSuspectAfterQuarantine(t *testing.T) {
	now := start
	var tables []*Table
	names := []string{"a", "b", "c"}
	for _, name := range names {
		table := newTable(name, list("desk", 6))
		table.SetRouters(names, len(names))
		for i := range quarantineAfter {
			c := Choice{Server: Server{ID: strconv.Itoa(i)}, SentAt: start.Add(time.Duration(i) * time.Second)}
			table.ConnectionLost(c.SentAt.Add(time.Second), c, deadly)
			table.ServerDown(c.SentAt.Add(time.Second), c)
		}
		tables = append(tables, table)
	}
	now = now.Add(quarantineAfter*time.Second + suspectLifetime)
	sent := 0
	for range 10 {
		for _, table := range tables {
			if !isQuarantined(table, now, deadly) {
				sent++
			}
		}
	}
	require.Equal(t, 1, sent)
	for _, table := range tables {
		if !isQuarantined(table, now.Add(trialInterval), deadly) {
			sent++
		}
	}
	require.Equal(t, 2, sent)
}

// The router starts when the crashes are over.
func TestRestartedRouterLearnsQuarantine(t *testing.T) {
	c := newCrashes()
	for range quarantineAfter {
		c.crash([]Fingerprint{common, deadly})
		c.Answered([]Fingerprint{common})
	}
	c.now = c.now.Add(10 * time.Second)
	started := NewSuspects()
	for range 20 {
		started.SetPeer(c.now, "a", c.ToGossip(c.now))
	}
	require.True(t, started.IsQuarantined(c.now, deadly))
	require.False(t, started.IsQuarantined(c.now, common))
}

// Ten routers lose requests with the same part in one crash; digests arrive many times.
func TestOneCrashSeenByAllRoutersCountsOnce(t *testing.T) {
	s := NewSuspects()
	s.ConnectionLost(start, lostRequest(start.Add(-time.Second), "x", common))
	s.ServerDown(start, "x")
	for i := range 10 {
		peer := NewSuspects()
		lostAt := start.Add(time.Duration(i) * 20 * time.Millisecond)
		peer.ConnectionLost(lostAt, lostRequest(lostAt.Add(-time.Second), "x", common))
		peer.ServerDown(lostAt, "x")
		for delay := range 10 {
			now := lostAt.Add(time.Duration(delay) * 100 * time.Millisecond)
			s.SetPeer(now.Add(5*time.Millisecond), strconv.Itoa(i), peer.ToGossip(now))
		}
	}
	require.Equal(t, 1, s.suspects[common].crashes())
}

// More crashes than the table holds follow the quarantine.
func TestCrashesStayBounded(t *testing.T) {
	c := newCrashes()
	for range quarantineAfter {
		c.crash([]Fingerprint{deadly})
	}
	for i := range Fingerprint(3 * maxCrashes) {
		c.crash([]Fingerprint{1000 + i})
	}
	require.LessOrEqual(t, len(c.crashes), maxCrashes)
	require.LessOrEqual(t, len(c.suspects), maxSuspects)
	require.True(t, c.IsQuarantined(c.now, deadly), "crashes that a quarantine depends on stay")
}
