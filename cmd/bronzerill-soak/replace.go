package main

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timing of replacements of machines of the core.
const (
	replacements = 2
	// maxLateSuccessor is the longest time from a sudden end of a machine to the start of its successor.
	maxLateSuccessor = 2 * time.Second
	// maxLossDelay is the longest time from the end of a replacement to the loss of another disk.
	maxLossDelay = 2500 * time.Millisecond
	// maxVanishDelay is the same for a predecessor that ends without a signal: its successor counts already.
	maxVanishDelay = time.Second
	// recoveryTime is the time after a loss in which declared states must be accepted again.
	recoveryTime = 12 * time.Second
)

// replacement is how a machine is replaced.
type replacement int

const (
	// planned: the successor is started first, and the predecessor stops in order.
	planned replacement = iota
	// sudden: the predecessor ends without a signal, and the successor comes later.
	sudden
	// vanished: the successor is started first, and the predecessor ends without a signal.
	vanished
	replacementCount
)

func (r replacement) String() string { return [...]string{"planned", "sudden", "vanished"}[r] }

// replaceCore replaces machines of the core at other addresses, as planned or suddenly. Soon after each, another one
// loses its disk.
func replaceCore(cfg config, f *fleet, w *world, o *operator, random *rand.Rand) error {
	for round := range replacements {
		i := random.IntN(cfg.disks)
		kind := replacement((int(cfg.seed) + round) % int(replacementCount))
		cfg.recordDisturbance()
		if err := f.replace(cfg, w, i, kind, random); err != nil {
			return err
		}
		longest := maxLossDelay
		if kind == vanished {
			longest = maxVanishDelay
		}
		delay := time.Duration(random.Int64N(int64(longest)))
		time.Sleep(delay)
		loser := f.nodes[(i+1+random.IntN(cfg.disks-1))%cfg.disks]
		f.signal(loser, syscall.SIGKILL)
		f.await(loser, time.Second)
		loser.wipes++
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		if err := f.start(loser); err != nil {
			return err
		}
		cfg.recordDisturbance()
		before := o.ackCount.Load()
		end := time.Now().Add(recoveryTime)
		time.Sleep(catchUpTime)
		for o.ackCount.Load() == before && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
		}
		if o.ackCount.Load() == before {
			w.addViolation("no declared state was accepted within %v: round %d, router %d was replaced (%s), and router %d lost its disk after %v", recoveryTime, round, i, kind, loser.index, delay)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// replace puts a new machine in the place of a router's.
func (f *fleet) replace(cfg config, w *world, i int, kind replacement, random *rand.Rand) error {
	leaving := f.nodes[i]
	successor := &node{index: i, generation: leaving.generation + 1, hasDisk: true}
	var err error
	if successor.link, err = newLink(cfg, f.linkAddrOf(i, successor.generation), f.addrOf(i, successor.generation, "internal")); err != nil {
		return err
	}
	if kind != sudden {
		if err := f.start(successor); err != nil {
			return err
		}
		time.Sleep(catchUpTime)
		f.takePlace(successor)
		switch kind {
		case planned:
			f.signal(leaving, syscall.SIGTERM)
			if !f.await(leaving, 9*time.Second) {
				w.addViolation("router %d did not exit cleanly after SIGTERM, when it was replaced", i)
			}
		default:
			f.signal(leaving, syscall.SIGKILL)
			f.await(leaving, time.Second)
		}
	} else {
		f.signal(leaving, syscall.SIGKILL)
		f.await(leaving, time.Second)
		time.Sleep(time.Duration(random.Int64N(int64(maxLateSuccessor))))
		f.takePlace(successor)
		if err := f.start(successor); err != nil {
			return err
		}
		time.Sleep(catchUpTime)
	}
	leaving.link.close()
	return errors.Wrap(os.RemoveAll(f.dataFolder(leaving)), "remove the disk of a machine that is gone")
}

// takePlace lets callers and operators use a successor.
func (f *fleet) takePlace(successor *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	successor.faultAt = time.Now()
	f.nodes[successor.index] = successor
	f.generations[successor.index].Store(successor.generation)
}
