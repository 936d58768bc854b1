package holder

import (
	"context"

	"bronzerill"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/control"
)

// RPC exposes a Service over net/rpc. Its methods are the protocol of package
// control.
type RPC struct {
	service *Service
}

// NewRPC returns an RPC that exposes a service.
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

// Renew grants or releases a lease.
func (r *RPC) Renew(req *control.RenewRequest, reply *control.RenewReply) error {
	s := r.service
	now := s.cfg.Clock()
	if err := s.CheckLeader(now); err != nil {
		reply.Failure = r.failure(err)
		return nil
	}
	if req.Server != nil && req.Generation != s.cfg.Machine.Generation(req.Server.Name) {
		reply.Failure = r.failure(bronzerill.Errorf(bronzerill.KindAborted, "a newer process of %s has registered", req.Server.Name))
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		reply.Failure = control.Failure{Kind: bronzerill.KindNotLeader}
		return nil
	}
	*reply = s.table.Renew(now, s.cfg.Machine.Config(), req)
	return nil
}

// Register registers a new process of an agent and returns its generation.
func (r *RPC) Register(req *control.RegisterRequest, reply *control.RegisterReply) error {
	generation, err := r.service.register(context.Background(), req.Agent, req.Process)
	reply.Failure = r.failure(err)
	reply.Generation = generation
	return nil
}

// Claim asks the ledger for the right to send a call.
func (r *RPC) Claim(req *control.ClaimRequest, reply *control.ClaimReply) error {
	result, failure := r.propose(state.Command{Claim: &req.Claim})
	reply.Failure = failure
	reply.Decision = result.Decision
	reply.Reply = result.Record.Reply
	return nil
}

// Finish records the response of a call.
func (r *RPC) Finish(req *control.FinishRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Finish: &req.Finish})
	return nil
}

// Release releases the claim of a call that was never sent.
func (r *RPC) Release(req *control.ReleaseRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Release: &req.Release})
	return nil
}

// MarkUnknown records that the response of a call was lost.
func (r *RPC) MarkUnknown(req *control.MarkUnknownRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{MarkUnknown: &req.MarkUnknown})
	return nil
}

// Gone records that an entry reported an agent as lost.
func (r *RPC) Gone(req *control.GoneRequest, reply *control.AckReply) error {
	now := r.service.cfg.Clock()
	reply.Failure = r.failure(r.service.CheckLeader(now))
	r.service.RecordLoss(now, req.Pool, req.Agent)
	return nil
}

// Crash records the requests that ran on a server when it crashed. It ignores the
// report of a lost agent during a mass loss, which no single request can cause.
func (r *RPC) Crash(req *control.CrashRequest, reply *control.RevisionReply) error {
	if req.Lost && r.service.IsMassLoss(r.service.cfg.Clock(), req.Crash.Pool) {
		return nil
	}
	result, failure := r.propose(state.Command{Crash: &req.Crash})
	reply.Failure = failure
	reply.Revision = result.Revision
	return nil
}

// Trial requests to run a suspect alone on one server.
func (r *RPC) Trial(req *control.TrialRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Trial: &req.Trial})
	return nil
}

// Verdict ends a trial that did not crash its server.
func (r *RPC) Verdict(req *control.VerdictRequest, reply *control.AckReply) error {
	_, reply.Failure = r.propose(state.Command{Verdict: &req.Verdict})
	return nil
}

// InForce reports whether a revision is in force at every holder.
func (r *RPC) InForce(req *control.InForceRequest, reply *control.InForceReply) error {
	now := r.service.cfg.Clock()
	reply.Failure = r.failure(r.service.CheckLeader(now))
	reply.InForce = r.service.IsInForce(now, req.Revision)
	return nil
}
