package holder

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/singleflight"

	"bronzerill"
	"bronzerill/internal/control/state"
)

// maxReplacedProcesses bounds the processes of one agent that are remembered after later ones have
// registered. Calls are held up for seconds, in which an agent starts a few times at most.
const maxReplacedProcesses = 16

// registrations remembers which processes of agents have registered with this leader. A call may
// arrive once more after its sender has given it up, and must not fence the process that runs.
// It is safe for concurrent use.
type registrations struct {
	// calls merges the calls of one process that are in progress at the same time.
	calls singleflight.Group
	mu    sync.Mutex
	// term is the term to which agents belongs.
	term   uint64
	agents map[string]registration
}

// registration is the newest process of an agent.
type registration struct {
	process    string
	generation uint64
	// replaced holds the processes before it, the oldest first.
	replaced []string
}

// find returns what is known of a process. ok is false if it hasn't registered in the term.
func (r *registrations) find(term uint64, agent, process string) (generation uint64, kind bronzerill.Kind, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.agents[agent]
	switch {
	case term != r.term || process == "":
		return 0, bronzerill.KindNone, false
	case known.process == process:
		return known.generation, bronzerill.KindNone, true
	case slices.Contains(known.replaced, process):
		return 0, bronzerill.KindAborted, true
	}
	return 0, bronzerill.KindNone, false
}

// record stores a process of an agent, unless a newer one has registered meanwhile. process is empty
// if its build doesn't identify it.
func (r *registrations) record(term uint64, agent, process string, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term || r.agents == nil {
		r.term, r.agents = term, make(map[string]registration)
	}
	newest, older := registration{process: process, generation: generation}, r.agents[agent]
	if older.generation > generation {
		newest, older = older, newest
	}
	replaced := slices.Concat(older.replaced, newest.replaced)
	if older.process != "" {
		replaced = append(replaced, older.process)
	}
	newest.replaced = replaced[max(0, len(replaced)-maxReplacedProcesses):]
	r.agents[agent] = newest
}

// register registers a process of an agent, once, and returns its generation.
func (s *Service) register(ctx context.Context, agent, process string) (uint64, error) {
	if process == "" {
		return s.registerOnce(ctx, agent, process)
	}
	generation, err, _ := s.registrations.calls.Do(agent+"\x00"+process, func() (any, error) {
		return s.registerOnce(ctx, agent, process)
	})
	return generation.(uint64), err
}

func (s *Service) registerOnce(ctx context.Context, agent, process string) (uint64, error) {
	term := s.cfg.Group.Status(s.cfg.Clock()).Term
	if generation, kind, ok := s.registrations.find(term, agent, process); ok {
		if kind != bronzerill.KindNone {
			return 0, bronzerill.Errorf(kind, "a newer process of %s has registered", agent)
		}
		return generation, nil
	}
	result, err := s.Propose(ctx, state.Command{Register: &state.Register{Agent: agent}})
	if err == nil {
		s.registrations.record(term, agent, process, result.Generation)
	}
	return result.Generation, err
}
