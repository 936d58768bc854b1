package control

import (
	"context"
	"time"

	"bronzerill/internal/control/state"
)

// lostAgentDelay is the time between the report of a lost agent and the report of
// its requests. Reports of other lost agents arrive at control in this time.
const lostAgentDelay = time.Second

// inForcePollInterval is the time between polls whether a revision is in force.
const inForcePollInterval = 100 * time.Millisecond

func newAck() *AckReply { return &AckReply{} }

// Claim requests the right to send a call.
func (c *Client) Claim(ctx context.Context, claim state.Claim) (state.Decision, state.Reply, error) {
	r, err := Call(ctx, c, "Claim", &ClaimRequest{claim}, func() *ClaimReply { return &ClaimReply{} })
	return r.Decision, r.Reply, err
}

// Finish records a call's response.
func (c *Client) Finish(ctx context.Context, f state.Finish) error {
	_, err := Call(ctx, c, "Finish", &FinishRequest{f}, newAck)
	return err
}

// Release releases a claim.
func (c *Client) Release(ctx context.Context, r state.Release) error {
	_, err := Call(ctx, c, "Release", &ReleaseRequest{r}, newAck)
	return err
}

// MarkUnknown records that a call's response was lost.
func (c *Client) MarkUnknown(ctx context.Context, m state.MarkUnknown) error {
	_, err := Call(ctx, c, "MarkUnknown", &MarkUnknownRequest{m}, newAck)
	return err
}

// Register registers a new agent process, which has an ID of its own, and returns its generation.
func (c *Client) Register(ctx context.Context, agent, process string) (uint64, error) {
	r, err := Call(ctx, c, "Register", &RegisterRequest{Agent: agent, Process: process}, func() *RegisterReply { return &RegisterReply{} })
	return r.Generation, err
}

// ReportCrash reports the requests that ran when a server crashed. It returns once
// the resulting revision is in force at every lease holder.
func (c *Client) ReportCrash(ctx context.Context, crash state.Crash) error {
	return c.sendCrashReport(ctx, &CrashRequest{Crash: crash})
}

// ReportLostAgent reports the requests that ran on a lost agent. It first reports
// the loss without them and waits for lostAgentDelay. By then control knows whether
// many agents were lost together.
func (c *Client) ReportLostAgent(ctx context.Context, crash state.Crash) error {
	request := &GoneRequest{Pool: crash.Pool, Agent: crash.Agent}
	if _, err := Call(ctx, c, "Gone", request, newAck); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lostAgentDelay):
	}
	return c.sendCrashReport(ctx, &CrashRequest{Crash: crash, Lost: true})
}

func (c *Client) sendCrashReport(ctx context.Context, request *CrashRequest) error {
	r, err := Call(ctx, c, "Crash", request, func() *RevisionReply { return &RevisionReply{} })
	if err != nil {
		return err
	}
	return c.awaitInForce(ctx, r.Revision)
}

func (c *Client) awaitInForce(ctx context.Context, revision uint64) error {
	for {
		r, err := Call(ctx, c, "InForce", &InForceRequest{revision}, func() *InForceReply { return &InForceReply{} })
		if err != nil || r.InForce {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(inForcePollInterval):
		}
	}
}

// StartTrial requests permission to run a suspect alone.
func (c *Client) StartTrial(ctx context.Context, t state.Trial) error {
	_, err := Call(ctx, c, "Trial", &TrialRequest{t}, newAck)
	return err
}

// EndTrial reports the verdict of a trial that did not crash its server.
func (c *Client) EndTrial(ctx context.Context, v state.Verdict) error {
	_, err := Call(ctx, c, "Verdict", &VerdictRequest{v}, newAck)
	return err
}
