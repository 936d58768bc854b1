// Package operator implements the HTTP API for the operators of the fleet. It
// serves change tickets, service reports, promises, suspects and repairs.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"bronzerill"
	"bronzerill/internal/control/holder"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// Control is the part of the control service that the API uses.
type Control interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// CheckLeader returns an error unless this replica may answer for the group.
	CheckLeader(now time.Time) error
	IsInForce(now time.Time, revision uint64) bool
	Report(now time.Time, number uint64) (bronzerill.Report, error)
	Overview(now time.Time) holder.Overview
}

// MemberChanger changes the members of the control group.
type MemberChanger interface {
	ChangeMembers(ctx context.Context, change func(replica.Members) (replica.Members, error)) error
}

// Config configures an API.
type Config struct {
	Control Control
	Members MemberChanger
	Machine *state.Machine
	Clock   func() time.Time
}

// API implements the HTTP API for operators.
type API struct{ cfg Config }

// NewAPI returns an API with the given configuration.
func NewAPI(cfg Config) *API { return &API{cfg: cfg} }

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", a.requireLeader(a.postTicket))
	mux.HandleFunc("POST /v1/tickets/dry-run", a.requireLeader(a.dryRun))
	mux.HandleFunc("GET /v1/tickets", a.requireLeader(a.listTickets))
	mux.HandleFunc("GET /v1/tickets/{number}", a.requireLeader(a.getTicket))
	mux.HandleFunc("GET /v1/config", a.requireLeader(a.getConfig))
	mux.HandleFunc("GET /v1/report", a.requireLeader(a.getReport))
	mux.HandleFunc("POST /v1/promises", a.requireLeader(a.postPromise))
	mux.HandleFunc("GET /v1/quarantine", a.requireLeader(a.listSuspects))
	mux.HandleFunc("DELETE /v1/quarantine/{fingerprint}", a.requireLeader(a.clearSuspect))
	mux.HandleFunc("POST /v1/repair", a.requireLeader(a.repair))
	mux.HandleFunc("GET /v1/status", a.getStatus)
	return mux
}

// Reply is the JSON response to a request that changes state or reads a ticket.
// Every error is also returned as a Reply.
type Reply struct {
	Error *ReplyError `json:"error,omitempty"`
	// Outcome is the outcome of a ticket. In a conflict, it is the outcome of the
	// ticket that was accepted.
	Outcome *bronzerill.Outcome `json:"outcome,omitempty"`
	// InForce means that every holder with a lease has the ticket's revision.
	InForce bool `json:"in-force,omitempty"`
}

// ReplyError is the JSON form of an error.
type ReplyError struct {
	// Kind is the name of a bronzerill.Kind.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	// Faults lists every reason why a ticket was refused.
	Faults []string `json:"faults,omitempty"`
}

// RepairRequest is the JSON request to replace a lost replica.
type RepairRequest struct {
	Lost        string `json:"lost"`
	Replacement string `json:"replacement"`
	Addr        string `json:"addr"`
}

// requireLeader wraps a handler so that it answers only on the leader.
func (a *API) requireLeader(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := a.cfg.Control.CheckLeader(a.cfg.Clock()); err != nil {
			writeError(w, err, nil)
			return
		}
		next(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails if the operator has disconnected. That needs no action.
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error. A result that isn't nil adds its faults and outcome.
func writeError(w http.ResponseWriter, err error, result *state.Result) {
	kind := bronzerill.KindOf(err)
	reply := Reply{Error: &ReplyError{Kind: kind.String(), Detail: err.Error()}}
	if result != nil {
		reply.Error.Faults = result.Faults
		if result.Outcome.Number > 0 {
			reply.Outcome = &result.Outcome
		}
	}
	writeJSON(w, kind.Response().Status, reply)
}

// decode reads the body of a request into value. If that fails, it writes the
// error and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		writeError(w, bronzerill.Errorf(bronzerill.KindBadRequest, "decode body: %v", err), nil)
		return false
	}
	return true
}

func (a *API) postTicket(w http.ResponseWriter, r *http.Request) {
	var t bronzerill.Ticket
	if !decode(w, r, &t) {
		return
	}
	result, err := a.cfg.Control.Propose(r.Context(), state.Command{Ticket: &state.TicketCommand{Ticket: t}})
	if err != nil {
		writeError(w, err, &result)
		return
	}
	writeJSON(w, http.StatusOK, a.ticketReply(result.Outcome))
}

func (a *API) ticketReply(o bronzerill.Outcome) Reply {
	return Reply{Outcome: &o, InForce: a.cfg.Control.IsInForce(a.cfg.Clock(), o.Revision)}
}

func (a *API) dryRun(w http.ResponseWriter, r *http.Request) {
	var t bronzerill.Ticket
	if !decode(w, r, &t) {
		return
	}
	config := a.cfg.Machine.Config()
	if faults := t.Faults(config); len(faults) > 0 {
		err := bronzerill.Errorf(bronzerill.KindTicketInvalid, "%d faults", len(faults))
		writeError(w, err, &state.Result{Faults: faults})
		return
	}
	writeJSON(w, http.StatusOK, bronzerill.Diff(config, config.WithChanges(t.Changes)))
}

func (a *API) listTickets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.cfg.Machine.Outcomes())
}

func (a *API) getTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeError(w, bronzerill.Errorf(bronzerill.KindBadRequest, "ticket number: %v", err), nil)
		return
	}
	outcome, ok := a.cfg.Machine.Outcome(number)
	if !ok {
		writeError(w, bronzerill.Errorf(bronzerill.KindBadRequest, "ticket %d not found", number), nil)
		return
	}
	writeJSON(w, http.StatusOK, a.ticketReply(outcome))
}

func (a *API) getConfig(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.cfg.Machine.Config().DeltaSince(0))
}

func (a *API) getReport(w http.ResponseWriter, r *http.Request) {
	number := uint64(0)
	if param := r.URL.Query().Get("number"); param != "" {
		parsed, err := strconv.ParseUint(param, 10, 64)
		if err != nil {
			writeError(w, bronzerill.Errorf(bronzerill.KindBadRequest, "report number: %v", err), nil)
			return
		}
		number = parsed
	}
	report, err := a.cfg.Control.Report(a.cfg.Clock(), number)
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (a *API) postPromise(w http.ResponseWriter, r *http.Request) {
	var p state.Promise
	if !decode(w, r, &p) {
		return
	}
	a.propose(w, r, state.Command{Promise: &p})
}

func (a *API) propose(w http.ResponseWriter, r *http.Request, c state.Command) {
	result, err := a.cfg.Control.Propose(r.Context(), c)
	if err != nil {
		writeError(w, err, &result)
		return
	}
	writeJSON(w, http.StatusOK, Reply{})
}

func (a *API) listSuspects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.cfg.Machine.Config().Suspects())
}

func (a *API) clearSuspect(w http.ResponseWriter, r *http.Request) {
	a.propose(w, r, state.Command{ClearSuspect: &state.ClearSuspect{Fingerprint: r.PathValue("fingerprint")}})
}

func (a *API) repair(w http.ResponseWriter, r *http.Request) {
	var req RepairRequest
	if !decode(w, r, &req) {
		return
	}
	err := a.cfg.Members.ChangeMembers(r.Context(), req.addReplacement)
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusAccepted, Reply{})
}

// addReplacement adds the replacement as a learner. The leader completes the
// repair.
func (r RepairRequest) addReplacement(m replica.Members) (replica.Members, error) {
	if _, ok := m.Get(r.Lost); !ok {
		return m, bronzerill.Errorf(bronzerill.KindBadRequest, "lost replica %q is not a member", r.Lost)
	}
	if _, ok := m.Get(r.Replacement); ok || r.Replacement == "" || r.Addr == "" {
		return m, bronzerill.Errorf(bronzerill.KindBadRequest, "replacement %q is already a member, or has no name or address", r.Replacement)
	}
	return m.With(replica.Member{Name: r.Replacement, Addr: r.Addr, Replaces: r.Lost}), nil
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.cfg.Control.Overview(a.cfg.Clock()))
}
