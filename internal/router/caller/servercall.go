package caller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// partSize is the maximum size of the data in one part, in bytes.
const partSize = 4 << 10

// part is a part of a server's response. Only one field is set.
type part struct {
	// response is the first part, unless the call failed.
	response *server.Response
	// data is valid until the next part is taken.
	data []byte
	// unframedEnd is set if the body has ended with its connection. It is checked before the last
	// part follows.
	unframedEnd bool
	// err is the last part. It is io.EOF at the end of the body.
	err error
}

// delivery is a part of the response to a call.
type delivery struct {
	call *serverCall
	part part
}

// serverCall is the request at one server. A goroutine receives the response; everything else
// runs in the goroutine of the exchange.
type serverCall struct {
	*exchange
	ctx    context.Context
	cancel context.CancelFunc
	choice placement.Choice
	// service is what is declared of the service when the request is sent.
	service declared.Service
	// sentAt is when the server was picked.
	sentAt time.Time
	// released is closed once nothing more of the response is needed.
	released chan struct{}
	// received is set once the last part was taken.
	received bool
	response *server.Response
	// held is what has arrived of the body and wasn't forwarded. Its first complete bytes are
	// whole events, if the response is a stream.
	held     memory.Buffer
	complete int
	scanner  eventScanner
	// whole is set once the response has ended and nothing of it is missing.
	whole bool
	// progressed is set once the server has sent a whole event.
	progressed bool
	// answerBeganAt is when the first bytes of a stream arrived, zero before.
	answerBeganAt time.Time
	// latency is the time until the first bytes of a stream, or the whole response, arrived.
	latency time.Duration
	// survived is set once the answer shows that the server survives the request.
	survived bool
}

// pickAndSend picks a server and sends the request to it. If there is none, it returns the
// explanation with the error.
func (e *exchange) pickAndSend(ctx context.Context) (*serverCall, placement.Choice, error) {
	now := e.cfg.Clock()
	if len(e.tried) > 0 && e.isQuarantined(now) {
		return nil, placement.Choice{}, bronzerill.Errorf(bronzerill.KindSuspect, "quarantined after %d attempts", len(e.tried))
	}
	e.updateService()
	choice, err := e.cfg.Servers.Pick(now, e.query(now))
	if err != nil {
		return nil, choice, err
	}
	e.tried = append(e.tried, choice.ID)
	c := &serverCall{exchange: e, choice: choice, service: e.service, sentAt: now, released: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	call := c.newCall(now)
	e.receivers.Go(func() error {
		c.receive(call)
		return nil
	})
	return c, choice, nil
}

// receive sends the request and delivers the parts of the response.
func (c *serverCall) receive(call server.Call) {
	defer c.cancel()
	defer c.containPanic()
	response, err := c.cfg.Client.Do(c.ctx, call)
	if err == nil {
		defer func() { _ = response.Body.Close() }() // the body has been read, or the connection is discarded
		if err = c.receiveBody(response); errors.Is(err, io.EOF) && !response.Framed {
			c.deliver(part{unframedEnd: true})
			err = cmp.Or(c.checkUnframed(response), err)
		}
	}
	c.deliver(part{err: err})
	// Until then the context is in use, and the witness of the response.
	<-c.released
}

// containPanic turns a panic into the failure of this call. Without it, one odd response would end the
// process with all its requests: net/http contains the panics of its own goroutines only.
func (c *serverCall) containPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	metrics.Count(metrics.EventPanic)
	c.cfg.Log.Error("panic while a response was received", "request", c.request.ID, "server", c.choice.ID, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	c.deliver(part{err: errors.Errorf("panic: %v", cause)})
	<-c.released
}

// receiveBody delivers the header and the body of a response. It returns io.EOF at the end of the body.
func (c *serverCall) receiveBody(response *server.Response) error {
	c.deliver(part{response: response})
	// The exchange still uses the data of a part while the next one is read.
	var buffers [2][]byte
	for i := 0; ; i = 1 - i {
		if buffers[i] == nil {
			buffers[i] = make([]byte, bufferSize(response))
		}
		n, err := response.Body.Read(buffers[i])
		if n > 0 {
			c.deliver(part{data: buffers[i][:n]})
		}
		if err != nil {
			return err
		}
	}
}

// bufferSize returns the size of the buffer for the body of a response. The length is what the
// server states, so it can be any number.
func bufferSize(response *server.Response) int64 {
	if response.Length >= 0 && response.Length < partSize {
		return response.Length + 1
	}
	return partSize
}

// deliver hands a part to the exchange, unless the call was released. The context is done then, so
// that the next read fails.
func (c *serverCall) deliver(p part) {
	select {
	case c.deliveries <- delivery{c, p}:
	case <-c.released:
	}
}

// release ends the call. It gives up a response that hasn't ended.
func (c *serverCall) release() {
	if !c.received {
		c.cancel()
	}
	close(c.released)
}

// accept takes the next part of the response. If it ends the call without a whole response,
// failed is set and the attempt says why.
func (c *serverCall) accept(p part) (a attempt, failed bool) {
	c.received = p.err != nil
	switch {
	case p.response != nil:
		return c.acceptHeader(p.response)
	case p.unframedEnd:
		return c.checkEvents()
	case p.err == nil:
		return c.hold(p.data)
	case c.response == nil:
		return c.failedCall(p.err), true
	case errors.Is(p.err, io.EOF):
		return c.end()
	}
	c.reportLost()
	return truncated(p.err.Error()), true
}

func (c *serverCall) acceptHeader(response *server.Response) (a attempt, failed bool) {
	c.response = response
	c.held = c.cfg.Memory.NewBuffer(httpport.Transfer(c.r), response.Length)
	c.cfg.Servers.ConfirmUp(c.cfg.Clock(), c.choice, c.service.ColdStart)
	info := c.cfg.Dialect.ParseResponse(response.Status, response.Header)
	c.applyStatements(info)
	if info.NotRun || info.Misdirected {
		// The body isn't read, so the connection isn't used again. The next attempt has the same ID,
		// and the server might write this refusal once more.
		return c.refusedAttempt(info), true
	}
	c.runs++
	if c.headWritten && !c.continuesStream(response, info) {
		return notContinued(response.Status), true
	}
	switch {
	case c.isStream() && !info.Signed:
		return attempt{kind: bronzerill.KindCrossed, run: bronzerill.RunDone, outcome: placement.OutcomeFailed}, true
	case c.isStream():
	case response.Length > maxBody:
		return truncated("body too large"), true
	case !c.cfg.Memory.Fits(response.Length):
		return noMemory(), true
	}
	return attempt{}, false
}

// isStream reports whether the response is forwarded while it arrives.
func (c *serverCall) isStream() bool {
	return c.route.Kind == declared.Stream && c.response.Status < http.StatusMultipleChoices
}

// hold keeps data of the body.
func (c *serverCall) hold(data []byte) (a attempt, failed bool) {
	if c.isStream() {
		c.countBytes()
		if complete := c.scanner.scan(data); complete > 0 {
			c.complete = c.held.Len() + complete
			c.progressed = true
		}
	}
	if !c.held.Append(data) {
		return noMemory(), true
	}
	switch {
	case c.scanner.open > maxEventBytes:
		return truncated("event too large"), true
	case !c.isStream() && c.held.Len() > maxBody:
		return truncated("body too large"), true
	}
	return attempt{}, false
}

// checkEvents checks that a body hasn't ended inside an event.
func (c *serverCall) checkEvents() (a attempt, failed bool) {
	if !c.isStream() || c.scanner.open == 0 || !c.route.Resumable && c.response.Framed && !hasEvents(c.response.Header) {
		return attempt{}, false
	}
	c.reportLost()
	return truncated("ended inside an event"), true
}

// end checks a response whose body has ended.
func (c *serverCall) end() (a attempt, failed bool) {
	if a, failed := c.checkEvents(); failed {
		return a, true
	}
	if !c.isStream() {
		if a, failed := c.endResponse(); failed {
			return a, true
		}
	}
	c.whole = true
	return attempt{}, false
}

// endResponse checks a response that isn't a stream.
func (c *serverCall) endResponse() (a attempt, failed bool) {
	now := c.cfg.Clock()
	c.latency = now.Sub(c.sentAt)
	c.cfg.Servers.ResponseStarted(now, &c.choice)
	status := c.response.Status
	switch info := c.cfg.Dialect.ParseResponse(status, c.response.Header); {
	case status < http.StatusBadRequest && !info.Signed:
		return attempt{kind: bronzerill.KindCrossed, run: bronzerill.RunDone, outcome: placement.OutcomeFailed}, true
	case promisesNotRun(status):
		return attempt{kind: bronzerill.KindServerFailed, run: bronzerill.RunDone, outcome: placement.OutcomeFailed}, true
	case status >= http.StatusInternalServerError:
		return attempt{
			kind: bronzerill.KindServerFailed, run: bronzerill.RunDone, outcome: placement.OutcomeFailed,
			failure: &failure{status, c.response.Header, c.held.Bytes()},
		}, true
	}
	return attempt{}, false
}

// promisesNotRun reports whether callers read the status as a guarantee that the
// request never runs. A server that has run the request can't guarantee that, so a
// response with such a status isn't forwarded.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failedCall classifies a call that got no response. Without proof of the contrary the server
// may have run the request.
func (c *serverCall) failedCall(err error) attempt {
	var callErr *server.Error
	switch isServerError := errors.As(err, &callErr); {
	case isServerError && callErr.Withheld:
		return attempt{kind: bronzerill.KindOf(err), run: bronzerill.RunNot, unsent: true, outcome: placement.OutcomeNone, detail: err.Error()}
	case isServerError && callErr.Run == bronzerill.RunNot:
		return attempt{kind: bronzerill.KindUnreachable, run: bronzerill.RunNot, unsent: true, outcome: placement.OutcomeUnreachable, detail: err.Error()}
	}
	c.runs++
	c.reportLost()
	return attempt{kind: bronzerill.KindServerFailed, run: bronzerill.RunUnknown, outcome: placement.OutcomeFailed, detail: err.Error()}
}

// answerGrace is how long an answer must go on before it shows that the server survives the
// request. A server that crashes as it begins to answer may have sent some bytes.
const answerGrace = 100 * time.Millisecond

// reportLost reports a connection that broke while the server ran the request, and checks
// whether the server has crashed. It ignores breaks caused by the caller's disconnect, by the
// router's stop or by the deadline.
func (c *serverCall) reportLost() {
	now := c.cfg.Clock()
	if c.r.Context().Err() != nil || c.isGivenUp() || !now.Before(c.deadline) {
		return
	}
	if c.answerBeganAt.IsZero() || now.Sub(c.answerBeganAt) < answerGrace {
		c.cfg.Servers.ConnectionLost(now, c.choice, c.fingerprint, c.fingerprints[1:]...)
	}
	c.checkCrash(now)
}

// checkCrash checks whether nothing listens at the address of the server any more. The context
// is done if the router closed the connection itself.
func (c *serverCall) checkCrash(now time.Time) {
	if c.ctx.Err() != nil {
		return
	}
	known := c.cfg.Servers.IsDown(now, c.choice)
	if !known && !c.cfg.Client.IsRefused(c.ctx, c.choice.Addr) {
		return
	}
	if suspects := c.cfg.Servers.ServerDown(c.cfg.Clock(), c.choice); !known || len(suspects) > 0 {
		c.logCrash(c.choice.Server, suspects)
	}
}

// countBytes records that part of a stream has arrived.
func (c *serverCall) countBytes() {
	now := c.cfg.Clock()
	if c.answerBeganAt.IsZero() {
		c.answerBeganAt = now
		c.latency = now.Sub(c.sentAt)
		c.cfg.Servers.ResponseStarted(now, &c.choice)
		metrics.FirstToken.Record(c.latency)
	}
	if !c.survived && now.Sub(c.answerBeganAt) >= answerGrace {
		c.survived = true
		c.cfg.Servers.Answered(c.fingerprints)
	}
}
