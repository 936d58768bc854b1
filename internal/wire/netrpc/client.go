package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/wire/tcp"
)

const dialTimeout = time.Second

// Client calls the server at one address. It replaces a connection on which a call
// failed or timed out, since that connection may be dead. It is safe for concurrent
// use.
type Client struct {
	addr   string
	secret Secret
	mu     sync.Mutex
	conn   *clientConn
}

// clientConn is a connection to the server.
type clientConn struct {
	*rpc.Client
	transport net.Conn
}

// NewClient returns a client that connects on its first call.
func NewClient(addr string, secret Secret) *Client {
	return &Client{addr: addr, secret: secret}
}

// Call calls a method and waits for its reply. ctx must have a deadline.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.drop(conn)
		}
		return errors.Wrap(call.Error, method)
	case <-ctx.Done():
		c.drop(conn)
		return errors.Wrap(ctx.Err(), method)
	}
}

func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", c.addr)
	}
	if err := c.secret.handshake(conn, "client", "server"); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "connect to %s", c.addr)
	}
	c.conn = &clientConn{Client: rpc.NewClient(countingConn{conn}), transport: conn}
	return c.conn, nil
}

// drop resets a connection. Calls on it that the server hasn't received yet are not delivered
// any more.
func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = tcp.Reset(conn.transport)
	_ = conn.Close() // fails the calls on it, whose connection is closed already
}

// Close closes the connection, if any.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
