// Package tcp ends TCP connections.
package tcp

import "net"

// Reset closes a connection whose peer must not get any more of what was written to it. After
// a normal close the kernel goes on delivering that, for many seconds if the network loses packets.
func Reset(conn net.Conn) error {
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, the connection is broken already.
		_ = lingerer.SetLinger(0)
	}
	return conn.Close()
}
