package server

import (
	"context"

	"bronzerill"
)

// Witness is a connection that was opened before a call was sent on another one. If the server
// answers on it after the response to that call, the process that received the call is still
// alive: a new process at the address doesn't have the connection.
type Witness struct {
	client *Client
	conn   *clientConn
}

// openWitness returns nil if no connection can be opened.
func (c *Client) openWitness(ctx context.Context, addr string) *Witness {
	conn := c.pool.take(c.cfg.Clock(), addr, maxIdleTime)
	if conn == nil {
		var err error
		if conn, err = dial(ctx, addr, firstDialTimeout); err != nil {
			return nil
		}
		conn.idleSince = c.cfg.Clock()
	}
	return &Witness{client: c, conn: conn}
}

// Do sends a call on the connection, once. The error is an *Error, as that of Client.Do.
func (w *Witness) Do(ctx context.Context, call Call) (*Response, error) {
	conn := w.conn
	w.conn = nil
	if conn == nil || !conn.isReusable() {
		if conn != nil {
			_ = conn.Close()
		}
		return nil, &Error{Run: bronzerill.RunNot, Cause: errConnClosed}
	}
	return w.client.exchange(ctx, conn, nil, call)
}

// release returns the connection to the pool unless it was used.
func (w *Witness) release() {
	if w != nil && w.conn != nil {
		w.client.pool.putUnused(w.conn)
		w.conn = nil
	}
}
