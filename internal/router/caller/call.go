package caller

import (
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/router/server"
)

func (e *exchange) newCall(now time.Time) server.Call {
	options := ForwardOptions{
		Server:      e.choice.ID,
		Remaining:   e.deadline.Sub(now),
		Priority:    e.priority(),
		HasPriority: e.service.Engine != nil,
		ResumeAfter: e.lastEventID,
		FetchFrom:   e.choice.FetchFrom,
		Customer:    e.customerName(),
	}
	return server.Call{
		Addr:      e.choice.Addr,
		Method:    e.r.Method,
		Target:    e.r.RequestURI,
		Host:      e.r.Host,
		Header:    e.cfg.Dialect.ForwardHeader(e.r.Header, options),
		Body:      e.body,
		FreshConn: !e.route.MayRepeat(),
		Witness:   !e.statesStartTime(),
		MaySend:   e.maySend,
		Match:     func(h http.Header) server.Match { return e.match(h, e.request.ID) },
	}
}

// match compares the request that a response names with the one that was sent. Neither need name
// one.
func (e *exchange) match(h http.Header, sent string) server.Match {
	switch e.cfg.Dialect.ParseResponse(0, h).ID {
	case sent:
		return server.MatchOwn
	case "":
		return server.MatchNone
	}
	return server.MatchOther
}

// maySend reports why the request must not be sent to the picked server any more.
func (e *exchange) maySend() error {
	if e.isZoneOut(e.choice.Zone) {
		return bronzerill.Errorf(bronzerill.KindZoneOut, "zone %s of %s is out", e.choice.Zone, e.choice.ID)
	}
	return e.cfg.Servers.MaySend(e.cfg.Clock(), e.choice)
}
