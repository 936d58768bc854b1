package caller

import (
	"net/http"
	"time"

	"bronzerill"
	"bronzerill/internal/router/server"
)

func (c *serverCall) newCall(now time.Time) server.Call {
	options := ForwardOptions{
		Server:      c.choice.ID,
		Remaining:   c.deadline.Sub(now),
		Priority:    c.priority(),
		HasPriority: c.service.Engine != nil,
		ResumeAfter: c.lastEventID,
		FetchFrom:   c.choice.FetchFrom,
		Customer:    c.customerName(),
	}
	return server.Call{
		Addr:      c.choice.Addr,
		Method:    c.r.Method,
		Target:    c.r.RequestURI,
		Host:      c.r.Host,
		Header:    c.cfg.Dialect.ForwardHeader(c.r.Header, options),
		Body:      c.body.Bytes(),
		FreshConn: !c.route.MayRepeat(),
		Witness:   !c.statesStartTime(),
		MaySend:   c.maySend,
		Match:     func(h http.Header) server.Match { return c.match(h, c.request.ID) },
	}
}

// match compares the request that a response names with the one that was sent. Neither need name
// one.
func (c *serverCall) match(h http.Header, sent string) server.Match {
	switch c.cfg.Dialect.ParseResponse(0, h).ID {
	case sent:
		return server.MatchOwn
	case "":
		return server.MatchNone
	}
	return server.MatchOther
}

// maySend reports why the request must not be sent to the picked server any more.
func (c *serverCall) maySend() error {
	if c.ctx.Err() != nil {
		return bronzerill.Errorf(bronzerill.KindExpired, "given up before it was sent to %s", c.choice.ID)
	}
	if c.isZoneOut(c.choice.Zone) {
		return bronzerill.Errorf(bronzerill.KindZoneOut, "zone %s of %s is out", c.choice.Zone, c.choice.ID)
	}
	return c.cfg.Servers.MaySend(c.cfg.Clock(), c.choice)
}
