package netrpc

import (
	"expvar"
	"net"
)

// Bytes that own processes exchange over net/rpc, counted at the connection.
var (
	bytesRead    = expvar.NewInt("control-bytes-read")
	bytesWritten = expvar.NewInt("control-bytes-written")
)

// ByteCounts returns the bytes read and written by this process so far.
func ByteCounts() (read, written int64) { return bytesRead.Value(), bytesWritten.Value() }

type countingConn struct {
	net.Conn
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(int64(n))
	return n, err
}
