package queueing

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxCustomers limits the customers whose requests are counted.
	maxCustomers = 2048
	// shareHalfLife is the half-life of a counted request. A customer's surge lasts
	// a few seconds.
	shareHalfLife = 2 * time.Second
	// minActiveCount is the lowest count of an active customer.
	minActiveCount = 0.5
	// minActiveCustomers is the number of active customers below which shares have
	// no meaning.
	minActiveCustomers = 3
)

// Shares counts the requests of customers at one router. Callers are spread over
// the routers, so each router sees about the same shares.
type Shares struct {
	counts *lru.Cache[string, decayed]
	// mean is the mean count of the active customers, as of meanAt.
	mean   float64
	meanAt time.Time
}

type decayed struct {
	count     float64
	updatedAt time.Time
}

func (d decayed) value(now time.Time) float64 {
	return d.count * math.Exp2(-max(0, now.Sub(d.updatedAt).Seconds())/shareHalfLife.Seconds())
}

func newShares() Shares {
	// The size is above 0, so no error is possible.
	counts, _ := lru.New[string, decayed](maxCustomers)
	return Shares{counts: counts}
}

func (s *Shares) count(now time.Time, customer string) {
	d, _ := s.counts.Get(customer)
	s.counts.Add(customer, decayed{d.value(now) + 1, now})
}

// meanInterval is how long a mean over all customers is reused.
const meanInterval = 100 * time.Millisecond

// ratio returns a customer's requests relative to the mean of the active customers,
// or 1 if too few customers are active.
func (s *Shares) ratio(now time.Time, customer string) float64 {
	if now.Sub(s.meanAt) >= meanInterval {
		s.mean, s.meanAt = s.activeMean(now), now
	}
	if s.mean == 0 {
		return 1
	}
	d, _ := s.counts.Peek(customer)
	return d.value(now) / s.mean
}

// activeMean returns the mean count of the active customers, or 0 if there are too
// few.
func (s *Shares) activeMean(now time.Time) float64 {
	sum, active := 0.0, 0
	for _, customer := range s.counts.Keys() {
		d, _ := s.counts.Peek(customer)
		if count := d.value(now); count >= minActiveCount {
			sum += count
			active++
		}
	}
	if active < minActiveCustomers {
		return 0
	}
	return sum / float64(active)
}
