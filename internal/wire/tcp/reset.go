// Package tcp ends TCP connections, and tells how they ended.
package tcp

import "net"

// lingerer is a connection whose close can be made a reset.
type lingerer interface{ SetLinger(seconds int) error }

// Reset closes a connection whose peer must not get any more of what was written to it. After
// a normal close the kernel goes on delivering that, for many seconds if the network loses packets.
func Reset(conn net.Conn) error {
	if l, ok := conn.(lingerer); ok {
		// If this fails, the connection is broken already.
		_ = l.SetLinger(0)
	}
	return conn.Close()
}
