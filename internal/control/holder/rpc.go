package holder

import (
	"context"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/control"
)

// RPC is the net/rpc face of a Service. Its method set is the protocol of
// package control.
type RPC struct {
	service *Service
}

// NewRPC returns the face of a service.
func NewRPC(s *Service) *RPC { return &RPC{service: s} }

func (r *RPC) failure(err error) control.Failure {
	if err == nil {
		return control.Failure{}
	}
	return control.Failure{Kind: bronzerill.KindOf(err), Detail: err.Error(), Leader: r.service.LeaderAddr(r.service.cfg.Clock())}
}

func (r *RPC) propose(c state.Command) (state.Result, control.Failure) {
	result, err := r.service.Propose(context.Background(), c)
	return result, r.failure(err)
}

// Renew grants a lease.
func (r *RPC) Renew(q *control.RenewRequest, reply *control.RenewReply) error {
	s := r.service
	now := s.cfg.Clock()
	if err := s.CheckLeader(now); err != nil {
		reply.Failure = r.failure(err)
		return nil
	}
	if q.Server != nil && q.Generation != s.cfg.Machine.Generation(q.Server.Name) {
		reply.Failure = r.failure(bronzerill.Errorf(bronzerill.KindAborted, "a newer process of %s has registered", q.Server.Name))
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		reply.Failure = control.Failure{Kind: bronzerill.KindNotLeader}
		return nil
	}
	*reply = s.table.Renew(now, s.cfg.Machine.Config(), q)
	return nil
}

// Register gives an agent process its generation.
func (r *RPC) Register(q *control.RegisterRequest, reply *control.RegisterReply) error {
	result, failure := r.propose(state.Command{Register: &state.Register{Agent: q.Agent}})
	reply.Failure = failure
	reply.Generation = result.Generation
	return nil
}

// Claim asks the ledger for the right to send a call.
func (r *RPC) Claim(q *control.ClaimRequest, reply *control.ClaimReply) error {
	result, failure := r.propose(state.Command{Claim: &q.Claim})
	reply.Failure = failure
	reply.Decision = result.Decision
	reply.Reply = result.Record.Reply
	return nil
}

// Finish records a call's answer.
func (r *RPC) Finish(q *control.FinishRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Finish: &q.Finish})
	return nil
}

// Release gives a claim back.
func (r *RPC) Release(q *control.ReleaseRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Release: &q.Release})
	return nil
}

// MarkUnknown records that a call's answer was lost.
func (r *RPC) MarkUnknown(q *control.MarkUnknownRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{MarkUnknown: &q.MarkUnknown})
	return nil
}

// Gone notes that an agent was found gone.
func (r *RPC) Gone(q *control.GoneRequest, reply *control.AckReply) error {
	now := r.service.cfg.Clock()
	reply.Failure = r.failure(r.service.CheckLeader(now))
	r.service.RecordLoss(now, q.Pool, q.Agent)
	return nil
}

// Crash records what ran when a server crashed.
func (r *RPC) Crash(q *control.CrashRequest, reply *control.RevisionReply) error {
	if q.Lost && r.service.IsMassLoss(r.service.cfg.Clock(), q.Crash.Pool) {
		return nil
	}
	result, failure := r.propose(state.Command{Crash: &q.Crash})
	reply.Failure = failure
	reply.Revision = result.Revision
	return nil
}

// Trial asks to run a suspect alone.
func (r *RPC) Trial(q *control.TrialRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Trial: &q.Trial})
	return nil
}

// Verdict ends a trial that went well.
func (r *RPC) Verdict(q *control.VerdictRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Verdict: &q.Verdict})
	return nil
}

// InForce tells whether a revision is in force at every holder.
func (r *RPC) InForce(q *control.InForceRequest, reply *control.InForceReply) error {
	now := r.service.cfg.Clock()
	reply.Failure = r.failure(r.service.CheckLeader(now))
	reply.InForce = r.service.IsInForce(now, q.Revision)
	return nil
}
