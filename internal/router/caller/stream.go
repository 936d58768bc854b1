package caller

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strconv"

	"bronzerill"
	"bronzerill/internal/operator/metrics"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/router/server"
)

// maxEventBytes is the maximum size of one event. A faulty server can send bytes without
// end.
const maxEventBytes = 1 << 20

// eventScanner finds the ends of the events in a stream. An empty line ends an event.
type eventScanner struct {
	// open is the number of bytes since the last complete event.
	open int
	// lineEnded is set after the end of a line.
	lineEnded bool
}

// scan reads the next bytes and returns how many of them belong to complete events.
func (s *eventScanner) scan(data []byte) int {
	complete := 0
	for i, b := range data {
		switch {
		case b == '\r':
		case b != '\n':
			s.lineEnded = false
		case s.lineEnded || s.open == 0:
			s.open = 0
			complete = i + 1
			continue
		default:
			s.lineEnded = true
		}
		s.open++
	}
	return complete
}

// continuesStream reports whether a response goes on with the stream whose header was sent to the
// caller.
func (e *exchange) continuesStream(response *server.Response, info ResponseInfo) bool {
	return info.Signed && response.Status == e.sentStatus && hasEvents(response.Header) == hasEvents(e.w.Header())
}

// notContinued is the attempt of a response that doesn't go on with the stream.
func notContinued(status int) attempt {
	a := attempt{kind: bronzerill.KindServerFailed, run: bronzerill.RunDone, outcome: placement.OutcomeAnswered, detail: "response doesn't go on with the stream: status " + strconv.Itoa(status)}
	if status >= http.StatusInternalServerError {
		a.outcome = placement.OutcomeFailed
	}
	return a
}

// truncated is the attempt of a response that ended too early.
func truncated(detail string) attempt {
	return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placement.OutcomeFailed, detail: detail}
}

// noMemory is the attempt of a response for which the router has no memory left.
func noMemory() attempt {
	return attempt{kind: bronzerill.KindTruncated, run: bronzerill.RunDone, outcome: placement.OutcomeNone, detail: "no memory left for the response"}
}

// hasEvents reports whether a response states that its body consists of events.
func hasEvents(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// forward sends to the caller what may be sent of the response. It reports whether the exchange
// has ended, and how.
func (c *serverCall) forward() (a attempt, ended bool) {
	switch {
	case c.response == nil:
		return attempt{}, false
	case !c.isStream() && c.whole:
		return c.forwardResponse(), true
	case !c.isStream():
		return attempt{}, false
	}
	if n := c.forwardable(); n > 0 {
		if c.complete > 0 {
			// Single bytes of an event don't show that the server makes progress.
			c.dropStandbys()
		}
		if !c.forwardEvents(c.held.Bytes()[:n]) {
			return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placement.OutcomeNone}, true
		}
		c.held.Discard(n)
		if c.complete > 0 {
			c.complete = 0
			c.watchSilence()
		}
	}
	if !c.whole {
		return attempt{}, false
	}
	return c.completeStream(), true
}

// forwardable returns how many of the held bytes of a stream may be sent. A server that resumes a
// stream begins after a whole event.
func (c *serverCall) forwardable() int {
	if c.route.Resumable {
		return c.complete
	}
	return c.held.Len()
}

// completeStream ends a stream that has arrived as a whole.
func (c *serverCall) completeStream() attempt {
	if !c.headWritten && !c.forwardEvents(nil) {
		return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placement.OutcomeNone}
	}
	if !c.survived {
		c.cfg.Servers.Answered(c.fingerprints)
	}
	metrics.Count(metrics.EventResponse)
	c.logOutcome(bronzerill.KindNone, c.response.Status)
	return attempt{outcome: placement.OutcomeAnswered}
}

// forwardResponse sends a whole response that isn't a stream.
func (c *serverCall) forwardResponse() attempt {
	c.copyHeader(c.response.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(c.held.Len()))
	c.w.WriteHeader(c.response.Status)
	c.headWritten = true
	if _, err := c.w.Write(c.held.Bytes()); err != nil {
		return attempt{kind: bronzerill.KindCanceled, run: bronzerill.RunDone, outcome: placement.OutcomeAnswered}
	}
	c.cfg.Servers.Answered(c.fingerprints)
	metrics.Count(metrics.EventResponse)
	c.logOutcome(bronzerill.KindNone, c.response.Status)
	return attempt{outcome: placement.OutcomeAnswered}
}

// forwardEvents writes events to the caller, after the header of the first server's
// response. It reports whether the write succeeded.
func (c *serverCall) forwardEvents(events []byte) bool {
	if !c.headWritten {
		c.headWritten = true
		c.recordVersion()
		c.copyHeader(c.response.Header)
		c.sentStatus = c.response.Status
		c.w.WriteHeader(c.response.Status)
	}
	if c.route.Resumable {
		if id := parseLastEventID(events); id != "" {
			c.lastEventID = id
		}
		c.unnumbered = endsUnnumbered(events, c.unnumbered)
	}
	if _, err := c.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(c.w).Flush() == nil
}

// endsUnnumbered reports whether the last of some whole events has no ID. Comments are no
// events. Without an event, it returns before.
func endsUnnumbered(events []byte, before bool) bool {
	blocks := bytes.Split(bytes.ReplaceAll(events, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	for _, block := range slices.Backward(blocks) {
		isEvent := false
		for line := range bytes.SplitSeq(block, []byte("\n")) {
			if bytes.HasPrefix(line, []byte("id:")) {
				return false
			}
			isEvent = isEvent || len(line) > 0 && line[0] != ':'
		}
		if isEvent {
			return true
		}
	}
	return before
}

// parseLastEventID returns the ID of the last event that has one, or an empty string.
func parseLastEventID(events []byte) string {
	start := bytes.LastIndex(events, []byte("\nid:"))
	if start < 0 {
		if !bytes.HasPrefix(events, []byte("id:")) {
			return ""
		}
		start = -1
	}
	line := events[start+1+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
