package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Timing of a storm.
const (
	minOutage = time.Second
	maxOutage = 5 * time.Second
	startLag  = 300 * time.Millisecond
)

// outage is what happens to a router in a storm.
type outage int

const (
	spared outage = iota
	frozen
	// cutOff routers don't hear from the others, or aren't heard, or both.
	cutOff
	// killed routers are down during the storm, and restarted ones start in it.
	killed
	restarted
	outageCount
)

func (o outage) String() string {
	return [...]string{"spared", "frozen", "cut off", "killed", "restarted"}[o]
}

// stormStates lets a storm hit the routers at the same moment, mostly a majority of those with a disk, while declared states
// go on. No disk is lost, so all is well again afterwards.
func stormStates(cfg config, f *fleet, w *world, o *operator, random *rand.Rand) error {
	// Routers are cut off for longer than settleTime.
	cfg.inStorm.Store(true)
	outages := make([]outage, len(f.nodes))
	for i, n := range f.nodes {
		outages[i] = outage(random.IntN(int(outageCount)))
		if err := f.beginOutage(n, outages[i], random); err != nil {
			return err
		}
	}
	time.Sleep(minOutage + time.Duration(random.Int64N(int64(maxOutage-minOutage))))
	for i, n := range f.nodes {
		if err := f.endOutage(n, outages[i]); err != nil {
			return err
		}
		time.Sleep(time.Duration(random.Int64N(int64(startLag))))
	}
	cfg.recordDisturbance()
	cfg.inStorm.Store(false)
	before := o.ackCount.Load()
	for end := time.Now().Add(recoveryTime); o.ackCount.Load() == before && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	if o.ackCount.Load() == before {
		w.addViolation("no declared state was accepted within %v after a storm %v", recoveryTime, outages)
	}
	time.Sleep(catchUpTime)
	return nil
}

// beginOutage begins the outage of a router.
func (f *fleet) beginOutage(n *node, kind outage, random *rand.Rand) error {
	switch kind {
	case frozen:
		f.signal(n, syscall.SIGSTOP)
	case cutOff:
		direction := forward + int32(random.IntN(int(both)))
		n.link.dropDigests.Store(direction != backward)
		n.link.blocked.Store(direction)
	case killed, restarted:
		f.signal(n, syscall.SIGKILL)
		f.await(n, time.Second)
	}
	if kind == restarted {
		return f.start(n)
	}
	return nil
}

// endOutage ends the outage of a router.
func (f *fleet) endOutage(n *node, kind outage) error {
	switch kind {
	case frozen:
		f.signal(n, syscall.SIGCONT)
	case cutOff:
		n.link.heal()
	case killed:
		return f.start(n)
	}
	return nil
}
