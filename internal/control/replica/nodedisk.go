package replica

import "time"

// Disk returns the ID of the replica's data folder, and where the log on its disk ends.
func (n *Node) Disk() (folder string, tail Tail) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.identity, n.core.Tail()
}

// CommitFromDisks commits the whole log if the tails of other voters show that a quorum has saved it. It returns the index
// up to which entries are applied then, and whether that is so.
func (n *Node) CommitFromDisks(tails map[string]Tail) (index uint64, committed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	committed = n.core.CommitFromDisks(tails)
	return n.core.Tail().Index, committed
}

// Unheard returns the members whose disks may be lost for all that this replica knows.
func (n *Node) Unheard(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Unheard(now)
}

// MarkLost records that a data folder is lost: its machine has told that it has another one, after this replica had
// learned of the lost one. It returns false if that was known.
func (n *Node) MarkLost(folder string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.MarkLost(folder)
}
