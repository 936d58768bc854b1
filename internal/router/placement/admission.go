package placement

import (
	"time"

	"bronzerill/internal/router/queueing"
)

// engineFreeQueue is the number of waiting requests below which an engine admits
// more, regardless of recent waits. If the queue is that short, long waits come from
// long prompts and not from overload.
const engineFreeQueue = 6

// admission decides which servers may take one request.
type admission struct {
	queue *queueing.ServiceQueue
	// limit bounds the estimated wait if the service is overloaded.
	limit      time.Duration
	overloaded bool
	engine     bool
	// refused is the number of servers that may not take the request, and minWait
	// the shortest estimated wait there.
	refused int
	minWait time.Duration
	// spread is set for engines.
	spread spread
}

func (t *Table) newAdmission(now time.Time, q Query, candidates []*record) *admission {
	queue := t.queueOf(q.Service.Name)
	limit := queue.WaitLimit(now, q.Request)
	a := &admission{
		queue: queue, limit: limit, engine: q.Service.Engine,
		overloaded: q.Request.Remaining > 0 && queue.IsOverloaded(now, limit),
	}
	if a.engine {
		a.spread = t.newSpread(now, q, candidates)
	}
	return a
}

// admits reports whether a server may take the request. An engine must have room for it within
// the hard bound. If the service is overloaded, the queue of the server must be
// short or the estimated wait within the limit.
func (a *admission) admits(now time.Time, r *record) bool {
	if a.engine && !a.spread.admits(now, r) {
		a.countRefusal(a.queue.Wait(now, r.queueLength()))
		return false
	}
	if !a.overloaded {
		return true
	}
	freeQueue := float64(r.Slots)
	if a.engine {
		freeQueue = engineFreeQueue
	}
	queueLength := r.queueLength()
	wait := a.queue.Wait(now, queueLength)
	if queueLength < freeQueue || wait <= a.limit {
		return true
	}
	a.countRefusal(wait)
	return false
}

// countRefusal counts a server that may not take the request.
func (a *admission) countRefusal(wait time.Duration) {
	if a.refused == 0 || wait < a.minWait {
		a.minWait = wait
	}
	a.refused++
}

func (t *Table) queueOf(service string) *queueing.ServiceQueue {
	s, ok := t.queues[service]
	if !ok {
		s = queueing.NewServiceQueue()
		t.queues[service] = s
	}
	return s
}
