package main

import (
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// joinTime is how long servers of a new version are listed while a router stands still.
const joinTime = listTime + time.Second

// stopInRelease pauses a router while servers of a new version replace others. Streams that
// begin there meanwhile break with their router and are resumed, first at the one that goes on.
func stopInRelease(cfg config, f *fleet, w *world, c *callers, random *rand.Rand) error {
	broken := random.IntN(len(f.nodes))
	paused := (broken + 1) % len(f.nodes)
	released := w.backends[random.IntN(len(w.backends)/2)] // the first half are the engines
	before := released.currentVersion()

	cfg.recordDisturbance()
	f.signal(f.nodes[paused], syscall.SIGSTOP)
	w.replace(released, newVersion)
	time.Sleep(joinTime)
	streams := new(errgroup.Group)
	c.beginStreamsAt(streams, func() int { return broken })
	f.signal(f.nodes[broken], syscall.SIGKILL)
	f.signal(f.nodes[paused], syscall.SIGCONT)
	f.await(f.nodes[broken], time.Second)
	err := f.start(f.nodes[broken])
	cfg.recordDisturbance()
	if waitErr := streams.Wait(); err == nil {
		err = waitErr
	}
	w.replace(released, before)
	time.Sleep(catchUpTime)
	return err
}
