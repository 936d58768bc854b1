package placing

import "time"

// meanLoad returns the mean load of servers that take work.
func meanLoad(able []*record) float64 {
	sum := 0
	for _, r := range able {
		sum += r.inFlight()
	}
	return float64(sum) / float64(len(able))
}

// serviceMean returns the mean load of all servers of a service that run, also of
// those that take no work: the deployment's bound is relative to it. A server counts
// as down only until it may be tried again: it may be back, with little to do.
func (t *Table) serviceMean(now time.Time, service string) float64 {
	sum, n := 0, 0
	for _, r := range t.servers {
		if r.Service == service && !now.Before(r.downUntil) {
			sum += r.inFlight()
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}

// deploymentBound returns the load above which an engine gets nothing, even if the
// others are cold and have had what they bear: callers come back when one has warmed
// up. It is relative to the servers that are known to run, so that it doesn't turn
// callers away while most of a service is down.
func (t *Table) deploymentBound(now time.Time, service string) float64 {
	sum, n := 0, 0
	for _, r := range t.servers {
		if r.Service == service && (r.proven || now.Before(r.coldUntil)) && !now.Before(r.downUntil) {
			sum += r.inFlight()
			n++
		}
	}
	return t.multiple()*float64(sum)/float64(max(1, n)) + boundSlack
}

// multiple returns the deployment's multiple of the mean load.
func (t *Table) multiple() float64 {
	if t.limits.LoadMultiple == 0 {
		return defaultMultiple
	}
	return t.limits.LoadMultiple
}

// Parameters of the bound on a server's load relative to its service's mean.
const (
	// defaultMultiple stands where the deployment sets none.
	defaultMultiple = 2.0
	// minRoom above the mean keeps prompts where they are warm when a large part
	// of the servers takes no work.
	minRoom = 1.5
	// boundSlack lets servers take work while the mean is low.
	boundSlack = 3.0
	// boundUse is the part of the bound that is used while every router hears
	// every other one in each round of digests.
	boundUse = 0.95
	// boundRound is what each further round costs that it takes to hear all.
	boundRound = 0.1
	// boundRoundHot is the same for a prompt that can flood a server: routers that
	// don't know of each other's requests send them to the same ones.
	boundRoundHot = 0.3
	// heardAtOnce is the number of routers of which one round tells enough.
	heardAtOnce = 10.0
)

// loadBound returns the load above which a server is passed over, between the
// mean of the servers that take work and the deployment's bound. Loads are known
// later the more routers there are, and the bound holds for what a server really
// carries, so it is drawn in by as much.
func (t *Table) loadBound(ableMean, serviceMean, flow float64) float64 {
	rounds := max(1, float64(len(t.entries))/heardAtOnce)
	perRound := boundRound
	if flow > floodLeast {
		perRound = boundRoundHot
	}
	use := boundUse / (1 + perRound*(rounds-1))
	room := t.multiple()*serviceMean + boundSlack - ableMean
	return ableMean + use*max(minRoom, room)
}
