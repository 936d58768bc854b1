package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/wire/tcp"
)

const dialTimeout = time.Second

var errClosed = errors.New("the client is closed")

// Client calls the server at one address. It replaces a connection on which a call
// failed or timed out, since that connection may be dead. It is safe for concurrent
// use.
type Client struct {
	addr   string
	secret Secret
	mu     sync.Mutex
	conn   *clientConn
	// setup is the connection that is being set up, nil if none is.
	setup *setup
	// tasks are the setups and the calls that are being written.
	tasks errgroup.Group
	// ctx ends with the client.
	ctx    context.Context
	cancel context.CancelFunc
}

// clientConn is a connection to the server.
type clientConn struct {
	*rpc.Client
	transport net.Conn
}

// setup is a connection that several calls wait for. It outlives them, since the next ones need it too.
type setup struct {
	// done is closed at the end. Then conn or err is set.
	done chan struct{}
	conn *clientConn
	err  error
}

// NewClient returns a client that connects on its first call.
func NewClient(addr string, secret Secret) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{addr: addr, secret: secret, ctx: ctx, cancel: cancel}
}

// Call calls a method and waits for its reply, but not longer than ctx, which must have a deadline. args must not be
// modified afterwards.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	c.mu.Lock()
	// Blocks while the server doesn't read, until the connection is dropped.
	started := c.start(func() { conn.Go(method, args, reply, done) })
	c.mu.Unlock()
	if !started {
		return errors.Wrap(errClosed, method)
	}
	select {
	case call := <-done:
		if call.Error != nil {
			c.drop(conn)
		}
		return errors.Wrap(call.Error, method)
	case <-ctx.Done():
		c.drop(conn)
		return errors.Wrap(ctx.Err(), method)
	}
}

// start runs a task that Close waits for, unless the client is closed. The caller holds the lock.
func (c *Client) start(task func()) bool {
	if c.ctx.Err() != nil {
		return false
	}
	c.tasks.Go(func() error {
		task()
		return nil
	})
	return true
}

// connect returns the open connection, or waits for a new one.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if conn := c.conn; conn != nil {
		c.mu.Unlock()
		return conn, nil
	}
	s := c.setup
	if s == nil {
		s = &setup{done: make(chan struct{})}
		if !c.start(func() { c.setUp(s) }) {
			c.mu.Unlock()
			return nil, errors.Wrapf(errClosed, "connect to %s", c.addr)
		}
		c.setup = s
	}
	c.mu.Unlock()
	select {
	case <-s.done:
		return s.conn, errors.Wrapf(s.err, "connect to %s", c.addr)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", c.addr)
	}
}

// setUp opens a connection and publishes it.
func (c *Client) setUp(s *setup) {
	s.conn, s.err = c.open()
	c.mu.Lock()
	c.setup = nil
	if c.ctx.Err() == nil {
		c.conn = s.conn
	} else if s.conn != nil {
		_ = s.conn.Close()
	}
	c.mu.Unlock()
	close(s.done)
}

// open opens a connection and proves the secret on it.
func (c *Client) open() (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.secret.handshake(conn, "client", "server"); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &clientConn{Client: rpc.NewClient(countingConn{conn}), transport: conn}, nil
}

// drop resets a connection. Calls on it that the server hasn't received yet are not delivered
// any more.
func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	conn.end()
}

// end resets the connection, which fails the calls on it.
func (c *clientConn) end() {
	_ = tcp.Reset(c.transport)
	_ = c.Close() // its connection is closed already
}

// Close closes the connection, if any, and waits until nothing uses it any more. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	if c.conn != nil {
		c.conn.end()
		c.conn = nil
	}
	c.mu.Unlock()
	_ = c.tasks.Wait() // the tasks return no errors
}
