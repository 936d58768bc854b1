package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"bronzerill/platform/standin"
)

// config configures the run of one seed.
type config struct {
	program, folder string
	seed            uint64
	routers, disks  int
	faultTime       time.Duration
	// zoneLosses is how often the servers of a zone fail.
	zoneLosses int
	// inStep lets the callers that press then send without a pause.
	inStep bool
	tasks  *errgroup.Group
	// lastDisturbance is when a fault last hit a router or its link, in Unix nanoseconds.
	lastDisturbance *atomic.Int64
	// inStorm is set while a storm goes on.
	inStorm *atomic.Bool
}

// settleTime is the time after the last fault of a router or link from which guarantees
// with a time bound hold again.
const settleTime = 4 * time.Second

// isSettled reports whether guarantees with a time bound hold.
func (c config) isSettled() bool {
	return !c.inStorm.Load() && time.Since(time.Unix(0, c.lastDisturbance.Load())) > settleTime
}

// recordDisturbance records a fault of a router or link.
func (c config) recordDisturbance() { c.lastDisturbance.Store(time.Now().UnixNano()) }

// runSeed runs one seed and returns the violated guarantees and a summary.
func runSeed(ctx context.Context, cfg config) (violations []string, report string, err error) {
	cfg.tasks = new(errgroup.Group)
	cfg.lastDisturbance, cfg.inStorm = new(atomic.Int64), new(atomic.Bool)
	w, err := newWorld(cfg)
	if err != nil {
		return nil, "", err
	}
	f, err := newFleet(cfg, w.listAddr)
	if err != nil {
		return nil, "", err
	}
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return nil, "", err
		}
	}
	o := &operator{fleet: f, world: w}
	callersCtx, stopCallers := context.WithCancel(ctx)
	c := &callers{fleet: f, world: w}
	workers := new(errgroup.Group)
	if o.declare(20 * time.Second) {
		for i := range 8 {
			random := rand.New(rand.NewPCG(cfg.seed, uint64(100+i)))
			workers.Go(func() error { c.run(callersCtx, random); return nil })
		}
		for i := range f.nodes {
			random := rand.New(rand.NewPCG(cfg.seed, uint64(400+i)))
			workers.Go(func() error { c.probeStates(callersCtx, o, i, random); return nil })
		}
		workers.Go(func() error { o.run(callersCtx, rand.New(rand.NewPCG(cfg.seed, 50))); return nil })
		w.hasStrays.Store(true)
		injectFaults(ctx, cfg, f, w)
		w.hasStrays.Store(false)
		err := killAllInTurn(cfg, f, w, c, rand.New(rand.NewPCG(cfg.seed, 4)))
		if err == nil {
			err = stormStates(cfg, f, w, o, rand.New(rand.NewPCG(cfg.seed, 15)))
		}
		if err == nil {
			err = stopInRelease(cfg, f, w, c, rand.New(rand.NewPCG(cfg.seed, 6)))
		}
		if err != nil {
			stopCallers()
			return nil, "", err
		}
		if err := loseZones(cfg, f, w, c, rand.New(rand.NewPCG(cfg.seed, 11))); err != nil {
			stopCallers()
			return nil, "", err
		}
		if err := fillDisksInTurn(cfg, f, w, o, rand.New(rand.NewPCG(cfg.seed, 12))); err != nil {
			stopCallers()
			return nil, "", err
		}
		if err := replaceCore(cfg, f, w, o, rand.New(rand.NewPCG(cfg.seed, 13))); err != nil {
			stopCallers()
			return nil, "", err
		}
		spoilAnswers(f, w, c, rand.New(rand.NewPCG(cfg.seed, 14)))
		playCrowd(ctx, cfg, f, w, c)
		w.overtakeOrders(o, rand.New(rand.NewPCG(cfg.seed, 5)))
		statements := new(errgroup.Group)
		statements.Go(func() error { w.stateInTurn(rand.New(rand.NewPCG(cfg.seed, 3))); return nil })
		w.limitServers(rand.New(rand.NewPCG(cfg.seed, 2)))
		if err := statements.Wait(); err != nil {
			stopCallers()
			return nil, "", err
		}
		if served := c.countServed(); served < 16 {
			w.addViolation("only %d of 20 requests were served after the faults; last error: %v", served, c.lastError)
		}
		err = playPauses(cfg, f, w, c, o)
		if err == nil {
			err = stopLate(cfg, f, c, rand.New(rand.NewPCG(cfg.seed, 10)))
		}
		if err != nil {
			stopCallers()
			return nil, "", err
		}
	} else {
		w.addViolation("no declared state was accepted at the start")
	}
	stopCallers()
	if err := workers.Wait(); err != nil {
		return nil, "", err
	}
	o.checkNewest()
	f.stopAll()
	w.stop()
	if err := cfg.tasks.Wait(); err != nil {
		return nil, "", err
	}
	return w.allViolations(), fmt.Sprintf("%s, %d changes, %d orders held up%s", c, o.ackCount.Load(), o.heldCount, &w.probes), nil
}

// injectFaults injects the seed's faults, some of them at the same time. The kinds 0 to
// 4 are faults of a router, 5 to 8 and 12 of a server, 9 to 11 of a link, and 13 of the list.
func injectFaults(ctx context.Context, cfg config, f *fleet, w *world) {
	random := rand.New(rand.NewPCG(cfg.seed, 1))
	group := new(errgroup.Group)
	busy := make([]atomic.Bool, len(f.nodes))
	var diskDown atomic.Bool
	for end := time.Now().Add(cfg.faultTime); time.Now().Before(end) && ctx.Err() == nil; {
		n := f.nodes[random.IntN(len(f.nodes))]
		b := w.backends[random.IntN(len(w.backends))]
		kind, duration := random.IntN(14), time.Duration(300+random.IntN(1500))*time.Millisecond
		odd := standin.OddEntries[random.IntN(len(standin.OddEntries))]
		group.Go(func() error {
			if kind == 13 {
				w.oddEntry.Store(&odd)
				return nil
			}
			if kind >= 5 && kind < 9 || kind == 12 {
				injectServerFault(kind, w, b, duration)
				return nil
			}
			// At most one router with a disk may be down at a time.
			if !busy[n.index].CompareAndSwap(false, true) {
				return nil
			}
			defer busy[n.index].Store(false)
			if n.hasDisk {
				if !diskDown.CompareAndSwap(false, true) {
					return nil
				}
				defer diskDown.Store(false)
			}
			cfg.recordDisturbance()
			defer cfg.recordDisturbance()
			if kind >= 9 {
				injectLinkFault(kind, n, duration)
				return nil
			}
			return injectRouterFault(kind, f, w, n, duration)
		})
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		w.addViolation("failed to restart a router: %v", err)
	}
	for _, b := range w.backends {
		b.proxy.blocked.Store(0)
		b.proxy.delay.Store(0)
	}
	for _, n := range f.nodes {
		n.link.heal()
	}
}

// injectLinkFault resets, delays or blocks the link of one router.
func injectLinkFault(kind int, n *node, duration time.Duration) {
	switch kind {
	case 9:
		n.link.resetAll()
	case 10:
		n.link.delay.Store(int64(duration / 8))
		time.Sleep(duration)
		n.link.delay.Store(0)
	case 11:
		// Lasts long enough for an election, and affects one direction or both.
		n.link.partition(forward+int32(duration.Milliseconds()%3), 2*duration)
	}
	if n.hasDisk {
		time.Sleep(catchUpTime)
	}
}

// catchUpTime is the time that a replica gets to catch up before the next one may fail.
const catchUpTime = 4 * time.Second

// injectRouterFault pauses a router, or stops and restarts it, in one case with an
// empty disk.
func injectRouterFault(kind int, f *fleet, w *world, n *node, duration time.Duration) error {
	switch kind {
	case 0:
		f.signal(n, syscall.SIGSTOP)
		time.Sleep(duration)
		f.signal(n, syscall.SIGCONT)
		return nil
	case 1, 2:
		f.signal(n, syscall.SIGKILL)
		f.await(n, time.Second)
		time.Sleep(duration)
	case 3:
		f.signal(n, syscall.SIGTERM)
		if !f.await(n, 9*time.Second) {
			w.addViolation("router %d did not exit cleanly after SIGTERM", n.index)
		}
	case 4:
		f.signal(n, syscall.SIGKILL)
		f.await(n, time.Second)
		n.wipes++
	}
	err := f.start(n)
	if n.hasDisk {
		time.Sleep(catchUpTime)
	}
	return err
}

// crashTime is the maximum time until the next process of a crashed server listens.
const crashTime = 200 * time.Millisecond

// injectServerFault crashes a server, resets, delays or blocks the connections to a server, or marks it
// as leaving.
func injectServerFault(kind int, w *world, b *backend, duration time.Duration) {
	switch kind {
	case 5:
		b.proxy.resetAll()
	case 6:
		b.proxy.delay.Store(int64(duration / 8))
		time.Sleep(duration)
		b.proxy.delay.Store(0)
	case 7:
		b.proxy.blocked.Store(int32(1 + duration.Milliseconds()%2))
		time.Sleep(duration)
		b.proxy.blocked.Store(0)
	case 8:
		w.startLeaving(b, time.Now())
	case 12:
		w.crash(b, duration%(crashTime+1))
	}
}
