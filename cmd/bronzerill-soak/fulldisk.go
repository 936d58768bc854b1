package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Parameters of full disks.
const (
	minFullTime = 500 * time.Millisecond
	maxFullTime = 4 * time.Second
	maxRoomTime = time.Second
	// acceptTime is the time after the last disk has room again in which a change must be
	// acknowledged.
	acceptTime = 4 * time.Second
)

// fillDisksInTurn lets each disk be full for a while, one after another, while declared states are
// submitted. A process whose files can't grow gets an error from each write, as on a full disk.
func fillDisksInTurn(cfg config, f *fleet, w *world, o *operator, random *rand.Rand) error {
	nodes := slices.Clone(f.nodes)
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes {
		if !n.hasDisk {
			continue
		}
		cfg.recordDisturbance()
		if err := f.setFull(n, true); err != nil {
			return err
		}
		time.Sleep(minFullTime + time.Duration(random.Int64N(int64(maxFullTime-minFullTime))))
		if err := f.setFull(n, false); err != nil {
			return err
		}
		cfg.recordDisturbance()
		time.Sleep(time.Duration(random.Int64N(int64(maxRoomTime))))
	}
	before := o.ackCount.Load()
	time.Sleep(acceptTime)
	if o.ackCount.Load() == before {
		w.addViolation("no declared state was accepted within %v after the last full disk had room", acceptTime)
	}
	return nil
}

// setFull lets the files of a router's process stay below a size of 0, or grow again.
func (f *fleet) setFull(n *node, full bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	return errors.Wrap(unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil), "limit the size of files")
}
