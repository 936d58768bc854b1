package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/entry/agent"
	"bronzerill/internal/operator/journal"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/exchange"
	"bronzerill/internal/wire/httpabort"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// Paths of the API.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
)

// maxFailedLines is how many lines of refusals and aborted responses are logged in a second.
const maxFailedLines = 200

// Forwarder runs requests on the servers of their policy's pool.
type Forwarder interface {
	Do(ctx context.Context, request agent.Request, out agent.Output) error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Forwarder Forwarder
	View      func() *control.View
	Clock     func() time.Time
	// LeaseClock is the clock of the lease. The default is Clock.
	LeaseClock func() time.Time
	Log        hclog.Logger
	// Secret is the key that signs hints.
	Secret string
	// Memory is what the bodies of all requests may take. The default is defaultMemory.
	Memory *memory.Budget
}

// Server serves callers over HTTP. It is safe for concurrent use.
type Server struct {
	cfg        ServerConfig
	hintSigner hintSigner
	// failedLog limits the rate of log lines.
	failedLog *journal.Limiter
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(defaultMemory)
	}
	if cfg.LeaseClock == nil {
		cfg.LeaseClock = cfg.Clock
	}
	return &Server{cfg: cfg, hintSigner: hintSigner{secret: []byte(cfg.Secret)}, failedLog: journal.NewLimiter("refused", maxFailedLines)}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChat, s.serve(s.chatRequest))
	mux.HandleFunc(PathServices+"{policy}/{path...}", s.serve(s.serviceRequest))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", bronzerill.Errorf(bronzerill.KindUnknownPool, "no such path: %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// requestParser converts a caller's HTTP request into a request for the forwarder.
type requestParser func(c *bronzerill.Config, r *http.Request, customer bronzerill.Customer, body []byte) (agent.Request, error)

func (s *Server) serve(parse requestParser) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequest, id)
		metrics.Count(metrics.EventRequest)
		body := s.newRequestBody(r)
		defer body.free()
		request, timeout, err := s.parseRequest(r, id, body, parse)
		if err != nil {
			s.refuse(w, id, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		if err := s.forward(ctx, w, id, request); err != nil {
			httpabort.Abort(r)
		}
	}
}

func (s *Server) parseRequest(r *http.Request, id string, body *requestBody, parse requestParser) (agent.Request, time.Duration, error) {
	view := s.cfg.View()
	if !view.HasLease(s.cfg.LeaseClock()) {
		return agent.Request{}, 0, bronzerill.Errorf(bronzerill.KindLeaseLapsed, "this entry has no valid lease")
	}
	customer, err := authenticate(view.Config, r)
	if err != nil {
		return agent.Request{}, 0, err
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return agent.Request{}, 0, err
	}
	priority, err := parsePriority(r)
	if err != nil {
		return agent.Request{}, 0, err
	}
	httpport.SetBodyDeadline(r, s.cfg.Clock().Add(timeout))
	if err := body.read(r); err != nil {
		return agent.Request{}, 0, err
	}
	request, err := parse(view.Config, r, customer, body.Bytes())
	if err != nil {
		return agent.Request{}, 0, err
	}
	request.Open.ID.Request = id
	request.Open.Customer = customer.Name
	request.Open.Weight = customer.Weight
	request.Open.Pool = request.Policy.Pool
	request.Open.Method = r.Method
	request.Open.ContentType = r.Header.Get("Content-Type")
	request.Open.Priority = priority
	request.Open.Body = body.Bytes()
	return request, timeout, nil
}

func (s *Server) chatRequest(c *bronzerill.Config, r *http.Request, customer bronzerill.Customer, body []byte) (agent.Request, error) {
	parsed, err := parseChat(body)
	if err != nil {
		return agent.Request{}, err
	}
	policy, err := findPolicy(c, parsed.Model, bronzerill.PoolEngine)
	if err != nil {
		return agent.Request{}, err
	}
	chat := r.Header.Get(HeaderChat)
	if chat == "" {
		chat = parsed.CacheKey
	}
	if len(chat) > maxChatBytes {
		return agent.Request{}, bronzerill.Errorf(bronzerill.KindBadRequest, "chat id is longer than %d bytes", maxChatBytes)
	}
	request := agent.Request{Policy: policy, Repeatable: true}
	request.Preferred = s.hintSigner.verify(customer.Name, chat, r.Header.Get(HeaderHint))
	request.Open = exchange.Open{Path: PathChat, Chat: chat, Fingerprint: fingerprint(customer.Name, PathChat, body)}
	return request, nil
}

func (s *Server) serviceRequest(c *bronzerill.Config, r *http.Request, _ bronzerill.Customer, _ []byte) (agent.Request, error) {
	policy, err := findPolicy(c, r.PathValue("policy"), bronzerill.PoolService)
	if err != nil {
		return agent.Request{}, err
	}
	pool, _ := c.Pool(policy.Pool)
	path := "/" + r.PathValue("path")
	key, err := parseKey(s.cfg.Clock(), r)
	if err != nil {
		return agent.Request{}, err
	}
	repeatable := pool.IsRepeatable(path)
	if !repeatable && key == "" {
		return agent.Request{}, bronzerill.Errorf(bronzerill.KindKeyRequired, "%s requires the header %s", path, HeaderIdempotencyKey)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	request := agent.Request{Policy: policy, Repeatable: repeatable}
	request.Open = exchange.Open{Path: path, Key: key, Fingerprint: ""}
	if key != "" {
		// The key spreads requests over the pool and sends retries to the same
		// server.
		request.Open.Chat = key
	}
	return request, nil
}

func findPolicy(c *bronzerill.Config, name string, kind bronzerill.PoolKind) (bronzerill.Policy, error) {
	policy, ok := c.Policy(name)
	if !ok {
		return policy, bronzerill.Errorf(bronzerill.KindUnknownPool, "no routing policy %q", name)
	}
	if pool, ok := c.Pool(policy.Pool); !ok || pool.Kind != kind {
		return policy, bronzerill.Errorf(bronzerill.KindUnknownPool, "routing policy %q has no %s pool", name, kind)
	}
	return policy, nil
}

// forward returns an error if the response must be aborted, so that the caller sees that it is
// incomplete.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, id string, request agent.Request) error {
	out := &output{writer: w, controller: http.NewResponseController(w), clock: s.cfg.Clock, startedAt: s.cfg.Clock()}
	out.signHint = func(server string) string { return s.hintSigner.sign(request.Open.Customer, request.Open.Chat, server) }
	err := s.cfg.Forwarder.Do(ctx, request, out)
	if err == nil {
		metrics.Count(metrics.EventResponse)
		return nil
	}
	if !out.headSent {
		s.refuse(w, id, err)
		return nil
	}
	metrics.Failed(bronzerill.KindOf(err))
	if s.failedLog.Allow(s.cfg.Clock()) {
		s.cfg.Log.Warn("response aborted", "request", id, "kind", bronzerill.KindOf(err).String(), "error", err.Error())
	}
	return err
}

func (s *Server) refuse(w http.ResponseWriter, id string, err error) {
	kind := bronzerill.KindOf(err)
	metrics.Refused(kind)
	if s.failedLog.Allow(s.cfg.Clock()) {
		s.cfg.Log.Info("refused", "request", id, "kind", kind.String(), "error", err.Error())
	}
	writeError(w, id, err)
}

// output writes a response to the caller.
type output struct {
	writer      http.ResponseWriter
	controller  *http.ResponseController
	clock       func() time.Time
	signHint    func(server string) string
	headSent    bool
	startedAt   time.Time
	lastWriteAt time.Time
}

var _ agent.Output = (*output)(nil)

// WriteHead writes the status and headers.
func (o *output) WriteHead(h *exchange.Head) error {
	o.headSent = true
	header := o.writer.Header()
	if h.ContentType != "" {
		header.Set("Content-Type", h.ContentType)
	}
	if h.Warm {
		header.Set(HeaderWarm, strconv.FormatBool(true))
	}
	if h.Replayed {
		header.Set(HeaderReplayed, strconv.FormatBool(true))
	}
	if h.Server != "" {
		header.Set(HeaderHint, o.signHint(h.Server))
	}
	o.writer.WriteHeader(h.Status)
	return nil
}

// WriteData writes and flushes a part of the response.
func (o *output) WriteData(p []byte) error {
	now := o.clock()
	if o.lastWriteAt.IsZero() {
		metrics.FirstToken.Record(now.Sub(o.startedAt))
	} else {
		metrics.BetweenTokens.Record(now.Sub(o.lastWriteAt))
	}
	o.lastWriteAt = now
	if _, err := o.writer.Write(p); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(o.controller.Flush(), "flush to caller")
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Run     string `json:"run"`
	Retry   string `json:"retry"`
	Request string `json:"request,omitempty"`
}

// writeError sends the error response of err's kind.
func writeError(w http.ResponseWriter, id string, err error) {
	kind := bronzerill.KindOf(err)
	response := kind.Response()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderKind, response.Name)
	header.Set(HeaderRun, response.Run.String())
	header.Set(HeaderRetry, response.Retry.String())
	if response.Retry == bronzerill.RetryLater || response.Retry == bronzerill.RetryElsewhere {
		header.Set("Retry-After", "1")
	}
	w.WriteHeader(response.Status)
	message := strings.TrimPrefix(err.Error(), response.Name+": ")
	// Ignore the error: the caller may have disconnected.
	_ = json.NewEncoder(w).Encode(errorBody{errorDetail{response.Name, message, response.Run.String(), response.Retry.String(), id}})
}
