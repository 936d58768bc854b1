package router

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/internal/control/replica"
	"bronzerill/internal/router/peer"
)

// diskTimeout limits the question for the disk of another replica.
const diskTimeout = 400 * time.Millisecond

// Disk returns what the disk of this router's replica holds. The folder is empty if none runs.
func (g *group) Disk() (folder string, tail replica.Tail) {
	node := g.replica()
	if node == nil {
		return "", replica.Tail{}
	}
	return node.Disk()
}

// askDisks asks the machines of members what their disks hold, and returns the answers by the names of the members.
func (g *group) askDisks(ctx context.Context, members []replica.Member) map[string]peer.DiskReply {
	ctx, cancel := context.WithTimeout(ctx, diskTimeout)
	defer cancel()
	var (
		questions errgroup.Group
		mu        sync.Mutex
	)
	replies := make(map[string]peer.DiskReply)
	for _, m := range members {
		questions.Go(func() error {
			var reply peer.DiskReply
			if err := g.router.clients.Call(ctx, m.Addr, "Disk", &peer.DiskRequest{}, &reply); err != nil {
				g.router.log.Debug("disk of member not known", "replica", m.Name, "error", err.Error())
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			replies[m.Name] = reply
			return nil
		})
	}
	_ = questions.Wait() // the questions return no errors
	return replies
}

// findLostDisks asks the machines of the members that don't answer for their data folders. A machine that has another one
// than its member has lost the member's disk for certain, since it was asked after that disk was known.
func (g *group) findLostDisks(ctx context.Context, node *replica.Node, now time.Time) {
	unheard := node.Unheard(now)
	if len(unheard) == 0 {
		return
	}
	replies := g.askDisks(ctx, unheard)
	for _, m := range unheard {
		if folder := replies[m.Name].Folder; folder != "" && folder != m.Folder && node.MarkLost(m.Folder) {
			g.router.log.Info("disk of member is lost", "replica", m.Name, "address", m.Addr, "folder", m.Folder, "new-folder", folder)
		}
	}
}
