package entry

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/agent/admission"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
)

// tickInterval is the pause between runs of the table's systems.
const tickInterval = 500 * time.Millisecond

// maxCacheBytes bounds the cache of one chat.
const maxCacheBytes = 64 << 20

// Sink takes the answer of one exchange.
type Sink interface {
	WriteHead(status int, contentType string, warm, replayed bool)
	Write(p []byte) (int, error)
}

// Runner runs a request on the backend server. Its error is of the closed list
// and says whether the request may have run.
type Runner interface {
	Run(ctx context.Context, o exchange.Open, sink Sink) error
}

// RunnerFunc is a function that is a Runner.
type RunnerFunc func(ctx context.Context, o exchange.Open, sink Sink) error

var _ Runner = RunnerFunc(nil)

// Run calls the function.
func (f RunnerFunc) Run(ctx context.Context, o exchange.Open, sink Sink) error {
	return f(ctx, o, sink)
}

// Trials asks control for the right to run a suspect alone, and reports what
// came of it.
type Trials interface {
	StartTrial(ctx context.Context, fingerprint string) error
	// EndTrial clears the suspect, or holds it again when the trial showed
	// nothing. It returns once control knows.
	EndTrial(ctx context.Context, fingerprint string, cleared bool) error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Name is the backend server's.
	Name   string
	Secret string
	Runner Runner
	Trials Trials
	// ImportCache hands the KV cache of a chat to the server; nil without an engine.
	ImportCache func(ctx context.Context, chat string, data []byte) error
	// View returns the agent's lease and configuration.
	View  func() *control.View
	Clock func() time.Time
	Log   hclog.Logger
	// Generation returns the agent's process.
	Generation func() uint64
	// Pool and Zone place the backend server.
	Pool string
	Zone string
}

// Server is the agent's HTTP server for entries.
type Server struct {
	cfg   ServerConfig
	table *table
	mu    sync.Mutex
	gate  *admission.Gate
	// group runs the exchanges, which outlive the connections they came by.
	group *errgroup.Group
	ctx   context.Context
}

// NewServer returns a server whose exchanges run in the group until ctx ends.
func NewServer(ctx context.Context, group *errgroup.Group, cfg ServerConfig) *Server {
	return &Server{
		cfg:   cfg,
		table: newTable(),
		gate:  admission.NewGate(cfg.Pool, cfg.Zone),
		group: group,
		ctx:   ctx,
	}
}

// WithGate runs a function on the gate.
func (s *Server) WithGate(use func(g *admission.Gate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.gate)
}

// Run keeps the table of exchanges until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickInterval, func(context.Context) { s.table.tick(s.cfg.Clock()) })
}

// Busy reports whether requests run, or entries still follow an answer.
func (s *Server) Busy() bool {
	s.mu.Lock()
	running := s.gate.Running()
	s.mu.Unlock()
	return running > 0 || s.table.followed()
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchange.PathOpen, s.serveOpen)
	mux.HandleFunc("POST "+exchange.PathCancel, s.serveCancel)
	mux.HandleFunc("POST "+exchange.PathCache+"{chat}", s.serveCache)
	return mux
}

func (s *Server) authorized(w http.ResponseWriter, r *http.Request) bool {
	given := r.Header.Get(exchange.HeaderSecret)
	if subtle.ConstantTimeCompare([]byte(given), []byte(s.cfg.Secret)) == 1 {
		return true
	}
	http.Error(w, bronzerill.KindUnauthorized.String(), http.StatusUnauthorized)
	return false
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(w, r) {
		return
	}
	o, err := exchange.DecodeOpen(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.table.cancel(s.cfg.Clock(), o.ID)
	w.WriteHeader(http.StatusNoContent)
}

// serveCache takes the cache of a chat that comes from a departing server.
func (s *Server) serveCache(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(w, r) {
		return
	}
	if s.cfg.ImportCache == nil {
		http.Error(w, "no engine here", http.StatusNotFound)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCacheBytes))
	if err == nil {
		err = s.cfg.ImportCache(r.Context(), r.PathValue("chat"), data)
	}
	if err != nil {
		s.cfg.Log.Warn("cache not taken over", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	metrics.Count(metrics.EventTakeover)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveOpen(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(w, r) {
		return
	}
	o, err := exchange.DecodeOpen(r.Body)
	if err != nil {
		http.Error(w, err.Error(), bronzerill.KindOf(err).Response().Status)
		return
	}
	stream := &stream{encoder: exchange.NewEncoder(w), flusher: http.NewResponseController(w), clock: s.cfg.Clock}
	a, err := s.open(o)
	if err != nil {
		metrics.Refused(bronzerill.KindOf(err))
		s.cfg.Log.Debug("refused", "request", o.ID.Request, "attempt", o.ID.Attempt, "kind", bronzerill.KindOf(err).String())
		_ = stream.send(exchange.Frame{Type: exchange.FrameFailure, Failure: exchange.NewFailure(err)})
		return
	}
	a.join()
	defer func() { a.leave(s.cfg.Clock()) }()
	stream.follow(r.Context(), a, o)
}

// open finds the exchange or starts it.
func (s *Server) open(o exchange.Open) (*answer, error) {
	if o.Server != s.cfg.Name || o.Pool != s.cfg.Pool {
		return nil, bronzerill.Errorf(bronzerill.KindNoServer, "this agent serves %s of %s", s.cfg.Name, s.cfg.Pool)
	}
	if o.Attach && o.Generation != s.cfg.Generation() {
		return nil, bronzerill.Errorf(bronzerill.KindAgentGone, "this process is %d, not %d", s.cfg.Generation(), o.Generation)
	}
	now := s.cfg.Clock()
	if a := s.table.find(now, o); a != nil {
		return a, nil
	}
	if o.Timeout <= 0 {
		return nil, bronzerill.Errorf(bronzerill.KindDeadline, "before the server was asked")
	}
	ask := admission.Request{Customer: o.Customer, Weight: max(1, o.Weight), Priority: o.Priority, Fingerprint: o.Fingerprint}
	pass, kind := s.admit(now, ask)
	if kind == bronzerill.KindSuspect && s.cfg.Trials != nil {
		return s.openTrial(o, ask)
	}
	if kind != bronzerill.KindNone {
		return nil, bronzerill.Errorf(kind, "%s", s.cfg.Name)
	}
	return s.start(o, pass, false)
}

// openTrial runs a suspect alone, if control grants it.
func (s *Server) openTrial(o exchange.Open, ask admission.Request) (*answer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, min(o.Timeout, control.LeaseTerm))
	defer cancel()
	err := s.cfg.Trials.StartTrial(ctx, o.Fingerprint)
	if bronzerill.KindOf(err) == bronzerill.KindNoQuorum {
		// The trial may have been granted; it won't be run.
		s.group.Go(func() error { s.endTrial(o.Fingerprint, false); return nil })
		return nil, bronzerill.Errorf(bronzerill.KindSuspect, "control gave no answer about the trial")
	}
	if err != nil {
		return nil, err
	}
	ask.Trial = true
	pass, kind := s.admit(s.cfg.Clock(), ask)
	if kind != bronzerill.KindNone {
		s.group.Go(func() error { s.endTrial(o.Fingerprint, false); return nil })
		return nil, bronzerill.Errorf(kind, "%s", s.cfg.Name)
	}
	return s.start(o, pass, true)
}

func (s *Server) admit(now time.Time, ask admission.Request) (admission.Permit, bronzerill.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Admit(now, s.cfg.View(), ask)
}

func (s *Server) start(o exchange.Open, pass admission.Permit, trial bool) (*answer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
	a := newAnswer(o.ID, s.cfg.Clock(), cancel)
	a.server = s.cfg.Name
	if kind := s.table.add(a); kind != bronzerill.KindNone {
		cancel()
		s.WithGate(func(g *admission.Gate) { g.Release(pass, false) })
		if kind == bronzerill.KindInProgress {
			// The same request came twice at once; the other one runs it.
			return s.table.find(s.cfg.Clock(), o), nil
		}
		return nil, bronzerill.Errorf(kind, "exchanges")
	}
	s.group.Go(func() error {
		defer cancel()
		err := s.cfg.Runner.Run(ctx, o, a)
		s.WithGate(func(g *admission.Gate) { g.Release(pass, err == nil) })
		if trial {
			s.endTrial(o.Fingerprint, err == nil)
		}
		if err != nil {
			metrics.Failed(bronzerill.KindOf(err))
			s.cfg.Log.Info("failed", "request", o.ID.Request, "attempt", o.ID.Attempt, "kind", bronzerill.KindOf(err).String(), "error", err.Error())
		}
		now := s.cfg.Clock()
		a.close(now, err)
		s.table.finished(now, a)
		return nil
	})
	return a, nil
}

func (s *Server) endTrial(fingerprint string, cleared bool) {
	if err := s.cfg.Trials.EndTrial(s.ctx, fingerprint, cleared); err != nil {
		s.cfg.Log.Warn("trial not closed", "error", err.Error())
	}
}

// stream writes frames to one entry.
type stream struct {
	encoder *msgpack.Encoder
	flusher *http.ResponseController
	clock   func() time.Time
}

func (st *stream) send(frames ...exchange.Frame) error {
	for i := range frames {
		if err := st.encoder.Encode(&frames[i]); err != nil {
			return err
		}
	}
	return st.flusher.Flush()
}

// follow sends the answer as it grows, with keep-alives between, until it ends
// or the entry goes away.
func (st *stream) follow(ctx context.Context, a *answer, o exchange.Open) {
	offset := o.Offset
	headed := false
	keepAlive := time.NewTicker(exchange.KeepAliveInterval)
	defer keepAlive.Stop()
	if st.send(exchange.Frame{Type: exchange.FrameKeepAlive}) != nil {
		return
	}
	for {
		frames, last, changed := a.next(offset, headed)
		for _, f := range frames {
			headed = headed || f.Type == exchange.FrameHead
			offset += int64(len(f.Data))
		}
		if len(frames) > 0 && st.send(frames...) != nil || last {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-keepAlive.C:
			if st.send(exchange.Frame{Type: exchange.FrameKeepAlive}) != nil {
				return
			}
		}
	}
}
