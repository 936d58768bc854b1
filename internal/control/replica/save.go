package replica

import "time"

// slowSave is the duration of a write from which it is logged. Nothing is committed while the
// disks of a quorum are that slow.
const slowSave = time.Second

// save writes to the store, and logs a slow write.
func (n *Node) save(r Ready) error {
	startedAt := n.cfg.Clock()
	err := n.cfg.Store.Save(r)
	if took := n.cfg.Clock().Sub(startedAt); took >= slowSave {
		n.cfg.Log.Warn("slow write to the log", "ms", took.Milliseconds(), "entries", len(r.Entries))
	}
	return err
}
