package replica

import "time"

// progressLogInterval is the time between two log lines on the same member that is behind.
const progressLogInterval = time.Second

// logProgress logs how far members of the leader's group are behind. Without it, a replica that gets nothing looks like
// one that is down.
func (n *Node) logProgress(now time.Time) {
	if now.Sub(n.progressLoggedAt) < progressLogInterval {
		return
	}
	if !n.core.IsLeader() {
		n.logElection(now)
		return
	}
	n.progressLoggedAt = now
	for _, name := range n.core.peerNames() {
		p := n.core.peers[name]
		silence := n.core.sinceEpoch(now) - max(p.ackedSentAt, p.trackedSince)
		if p.match < n.core.hard.Commit || silence > briefSilence {
			n.cfg.Log.Info("member is behind", "replica", name, "voter", n.core.Members().IsVoter(name), "match", p.match, "next", p.next,
				"commit", n.core.hard.Commit, "base", n.core.log.base, "silent-ms", silence.Milliseconds())
		}
	}
}

// logElection logs which voters this replica has heard from while it campaigns.
func (n *Node) logElection(now time.Time) {
	granted, rejected, campaigns := n.core.votesSeen()
	if !campaigns {
		return
	}
	n.progressLoggedAt = now
	members := n.core.Members()
	n.cfg.Log.Info("campaigns without a majority", "term", n.core.Term(), "granted", granted, "rejected", rejected,
		"voters", members.names(true), "needed", members.Quorum(), "log", n.core.log.last(), "commit", n.core.hard.Commit)
}
