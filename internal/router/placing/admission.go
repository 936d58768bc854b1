package placing

import (
	"time"

	"bronzerill/internal/router/queueing"
)

// freeEngine is the number of requests that may wait at an engine however long
// requests have waited lately: so few aren't a queue, but long prompts.
const freeEngine = 6

// admission decides for one request which servers have room for it.
type admission struct {
	service *queueing.ServiceQueue
	limit   time.Duration
	pressed bool
	engine  bool
	// refused counts the servers without room, and least is the least wait there.
	refused int
	least   time.Duration
	// bound is the load that an engine may carry at the most.
	bound float64
}

func (t *Table) newAdmission(now time.Time, q Query) *admission {
	service := t.queueOf(q.Service.Name)
	limit := service.WaitLimit(now, q.Request)
	return &admission{
		service: service, limit: limit, engine: q.Service.Engine, bound: t.deploymentBound(now, q.Service.Name),
		pressed: q.Request.Remaining > 0 && service.IsOverloaded(now, limit),
	}
}

// hasRoom reports whether a request would be answered at a server within its
// limit, and the server may carry it.
func (a *admission) hasRoom(now time.Time, r *record) bool {
	if a.engine && float64(r.inFlight()) > a.bound {
		a.refuse(a.service.Wait(now, r.queue()))
		return false
	}
	if !a.pressed {
		return true
	}
	free := float64(r.Slots)
	if a.engine {
		free = freeEngine
	}
	queue := r.queue()
	wait := a.service.Wait(now, queue)
	if queue < free || wait <= a.limit {
		return true
	}
	a.refuse(wait)
	return false
}

// refuse counts a server without room.
func (a *admission) refuse(wait time.Duration) {
	if a.refused == 0 || wait < a.least {
		a.least = wait
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
