// Package httpresponse receives HTTP responses of peers that may be faulty.
package httpresponse

import (
	"context"
	"net"
	"net/http"

	"bronzerill/internal/wire/tcp"
)

// Transport is an http.Transport whose responses don't end with io.EOF if their connection was reset.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport with the settings of base, which it changes. It opens connections
// with the DialContext of base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return tcp.NewConn(c), nil
	}
	return &Transport{base}
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}
