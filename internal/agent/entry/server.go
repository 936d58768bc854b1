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
	"bronzerill/internal/operator/journal"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/run/ticker"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// expireInterval is the pause between calls of table.expire.
const expireInterval = 500 * time.Millisecond

// defaultMemory is what the bodies of requests may take in bytes unless the configuration says otherwise.
const defaultMemory = 256 << 20

// openBodyFactor is what an exchange takes, as a multiple of its body: the request and what is decoded of it.
const openBodyFactor = 2

// maxFailedLines is how many failed requests are logged in a second.
const maxFailedLines = 200

// maxCacheBytes limits the size of the KV cache of one chat.
const maxCacheBytes = 64 << 20

// Sink receives the response of one exchange. WriteHead is called before Write.
type Sink interface {
	WriteHead(status int, contentType string, warm, replayed bool)
	Write(p []byte) (int, error)
}

// Runner runs a request on the backend server. The kind of its error states
// whether the request may have run.
type Runner interface {
	Run(ctx context.Context, o exchange.Open, sink Sink) error
}

// RunnerFunc is a function that implements Runner.
type RunnerFunc func(ctx context.Context, o exchange.Open, sink Sink) error

var _ Runner = RunnerFunc(nil)

// Run calls the function.
func (f RunnerFunc) Run(ctx context.Context, o exchange.Open, sink Sink) error {
	return f(ctx, o, sink)
}

// Trials asks control for permission to run a suspect alone, and reports the
// result.
type Trials interface {
	StartTrial(ctx context.Context, fingerprint string) error
	// EndTrial clears the suspect, or holds it again if the trial was
	// inconclusive. It returns when control has recorded that.
	EndTrial(ctx context.Context, fingerprint string, cleared bool) error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Name is the name of the backend server.
	Name   string
	Secret string
	Runner Runner
	Trials Trials
	// ImportCache sends the KV cache of a chat to the backend server. It is nil
	// if that server isn't an engine.
	ImportCache func(ctx context.Context, chat string, data []byte) error
	// View returns the lease and the configuration of the agent.
	View  func() *control.View
	Clock func() time.Time
	Log   hclog.Logger
	// Generation returns the generation of the agent process.
	Generation func() uint64
	// Memory is what the bodies of all requests may take. The responses may take as much beside it. The default is
	// defaultMemory.
	Memory *memory.Budget
	// Pool and Zone are those of the backend server.
	Pool string
	Zone string
}

// Server is the HTTP server of the agent for entries.
type Server struct {
	cfg   ServerConfig
	table *table
	mu    sync.Mutex
	gate  *admission.Gate
	// group runs the exchanges. They outlive the connections of the entries.
	group *errgroup.Group
	ctx   context.Context
	// failedLog limits the rate of log lines.
	failedLog *journal.Limiter
}

// NewServer returns a server. Its exchanges run in the group until ctx ends.
func NewServer(ctx context.Context, group *errgroup.Group, cfg ServerConfig) *Server {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(defaultMemory)
	}
	return &Server{
		cfg:   cfg,
		table: newTable(cfg.Memory.Size()),
		gate:  admission.NewGate(cfg.Pool, cfg.Zone),
		group: group,
		ctx:   ctx,

		failedLog: journal.NewLimiter("request failed", maxFailedLines),
	}
}

// WithGate calls fn with the gate while holding the lock.
func (s *Server) WithGate(fn func(g *admission.Gate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.gate)
}

// Run expires exchanges until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return ticker.Every(ctx, expireInterval, func(context.Context) { s.table.expire(s.cfg.Clock()) })
}

// Busy reports whether requests are running, or responses have readers or wait for one.
func (s *Server) Busy() bool {
	s.mu.Lock()
	running := s.gate.Running()
	s.mu.Unlock()
	return running > 0 || s.table.inUse(s.cfg.Clock())
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	count := func(factor int64, next http.HandlerFunc) http.Handler {
		return httpport.CountBodies(s.cfg.Memory, factor, next)
	}
	mux.Handle("POST "+exchange.PathOpen, count(openBodyFactor, s.serveOpen))
	mux.Handle("POST "+exchange.PathCancel, count(openBodyFactor, s.serveCancel))
	mux.Handle("POST "+exchange.PathCache+"{chat}", count(1, s.serveCache))
	return mux
}

// authorized checks the secret of the request and writes the error response.
func (s *Server) authorized(w http.ResponseWriter, r *http.Request) bool {
	secret := r.Header.Get(exchange.HeaderSecret)
	if subtle.ConstantTimeCompare([]byte(secret), []byte(s.cfg.Secret)) == 1 {
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

// serveCache imports the KV cache of a chat from a leaving server.
func (s *Server) serveCache(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(w, r) {
		return
	}
	if s.cfg.ImportCache == nil {
		http.Error(w, "this agent has no engine", http.StatusNotFound)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCacheBytes))
	if err == nil {
		err = s.cfg.ImportCache(r.Context(), r.PathValue("chat"), data)
	}
	if err != nil {
		s.cfg.Log.Warn("import of cache failed", "error", err.Error())
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
	kind := bronzerill.KindOf(err)
	if kind == bronzerill.KindBadRequest || kind == bronzerill.KindBodyTooLarge {
		http.Error(w, err.Error(), kind.Response().Status)
		return
	}
	stream := &stream{encoder: exchange.NewEncoder(w), flusher: http.NewResponseController(w), clock: s.cfg.Clock}
	var resp *response
	if err == nil {
		resp, err = s.open(o)
	}
	if err != nil {
		metrics.Refused(bronzerill.KindOf(err))
		s.cfg.Log.Debug("request refused", "request", o.ID.Request, "attempt", o.ID.Attempt, "kind", bronzerill.KindOf(err).String())
		_ = stream.send(exchange.Frame{Type: exchange.FrameFailure, Failure: exchange.NewFailure(err)})
		return
	}
	reader := resp.addReader(o.Offset)
	defer func() { resp.removeReader(s.cfg.Clock()) }()
	stream.follow(r.Context(), resp, reader, o)
}

// open returns the response of a known exchange, or starts a new exchange.
func (s *Server) open(o exchange.Open) (*response, error) {
	if o.Server != s.cfg.Name || o.Pool != s.cfg.Pool {
		return nil, bronzerill.Errorf(bronzerill.KindNoServer, "this agent serves server %s of pool %s", s.cfg.Name, s.cfg.Pool)
	}
	if o.Attach && o.Generation != s.cfg.Generation() {
		return nil, bronzerill.Errorf(bronzerill.KindAgentGone, "agent process has generation %d, not %d", s.cfg.Generation(), o.Generation)
	}
	now := s.cfg.Clock()
	if resp := s.table.find(now, o); resp != nil {
		return resp, nil
	}
	if o.Timeout <= 0 {
		return nil, bronzerill.Errorf(bronzerill.KindDeadline, "deadline exceeded before admission")
	}
	request := admission.Request{Customer: o.Customer, Weight: max(1, o.Weight), Priority: o.Priority, Fingerprint: o.Fingerprint}
	permit, kind := s.admit(now, request)
	if kind == bronzerill.KindSuspect && s.cfg.Trials != nil {
		return s.openTrial(o, request)
	}
	if kind != bronzerill.KindNone {
		return nil, bronzerill.Errorf(kind, "%s", s.cfg.Name)
	}
	return s.start(o, permit, false)
}

// openTrial runs a suspect alone if control grants a trial.
func (s *Server) openTrial(o exchange.Open, request admission.Request) (*response, error) {
	ctx, cancel := context.WithTimeout(s.ctx, min(o.Timeout, control.LeaseTerm))
	defer cancel()
	err := s.cfg.Trials.StartTrial(ctx, o.Fingerprint)
	if bronzerill.KindOf(err) == bronzerill.KindNoQuorum {
		// Control may have granted the trial, but it won't run: hold the
		// suspect again.
		s.group.Go(func() error { s.endTrial(o.Fingerprint, false); return nil })
		return nil, bronzerill.Errorf(bronzerill.KindSuspect, "no quorum for the grant of a trial")
	}
	if err != nil {
		return nil, err
	}
	request.Trial = true
	permit, kind := s.admit(s.cfg.Clock(), request)
	if kind != bronzerill.KindNone {
		s.group.Go(func() error { s.endTrial(o.Fingerprint, false); return nil })
		return nil, bronzerill.Errorf(kind, "%s", s.cfg.Name)
	}
	return s.start(o, permit, true)
}

func (s *Server) admit(now time.Time, request admission.Request) (admission.Permit, bronzerill.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Admit(now, s.cfg.View(), request)
}

// start runs the exchange in the group and returns its response.
func (s *Server) start(o exchange.Open, permit admission.Permit, trial bool) (*response, error) {
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
	resp := newResponse(o.ID, s.cfg.Clock(), s.table.windows, cancel)
	resp.server = s.cfg.Name
	resp.done = ctx.Done()
	if kind := s.table.add(resp); kind != bronzerill.KindNone {
		cancel()
		s.WithGate(func(g *admission.Gate) { g.Release(permit, false) })
		if kind == bronzerill.KindInProgress {
			// The same request arrived twice at the same time, and the other
			// one is running.
			return s.table.find(s.cfg.Clock(), o), nil
		}
		return nil, bronzerill.Errorf(kind, "too many exchanges")
	}
	s.group.Go(func() error {
		defer cancel()
		err := s.cfg.Runner.Run(ctx, o, resp)
		s.WithGate(func(g *admission.Gate) { g.Release(permit, err == nil) })
		if trial && err != nil {
			// A retry must find the suspect held.
			s.endTrial(o.Fingerprint, false)
		}
		if err != nil {
			metrics.Failed(bronzerill.KindOf(err))
			if s.failedLog.Allow(s.cfg.Clock()) {
				s.cfg.Log.Info("request failed", "request", o.ID.Request, "attempt", o.ID.Attempt, "kind", bronzerill.KindOf(err).String(), "error", err.Error())
			}
		}
		now := s.cfg.Clock()
		resp.close(now, err)
		s.table.finish(now, resp)
		if trial && err == nil {
			s.endTrial(o.Fingerprint, true)
		}
		return nil
	})
	return resp, nil
}

func (s *Server) endTrial(fingerprint string, cleared bool) {
	if err := s.cfg.Trials.EndTrial(s.ctx, fingerprint, cleared); err != nil {
		s.cfg.Log.Warn("could not report the result of a trial", "error", err.Error())
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

// follow sends the frames of the response as they arrive, and keep-alives in
// between. It returns when the response ends or the entry disconnects.
func (st *stream) follow(ctx context.Context, resp *response, reader int, o exchange.Open) {
	offset := o.Offset
	headSent := false
	keepAlive := time.NewTicker(exchange.KeepAliveInterval)
	defer keepAlive.Stop()
	if st.send(exchange.Frame{Type: exchange.FrameKeepAlive}) != nil {
		return
	}
	for {
		frames, last, changed := resp.framesFrom(offset, headSent)
		for _, f := range frames {
			headSent = headSent || f.Type == exchange.FrameHead
			offset += int64(len(f.Data))
		}
		if len(frames) > 0 && st.send(frames...) != nil {
			return
		}
		if last {
			resp.settle()
			return
		}
		resp.recordRead(reader, offset)
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
