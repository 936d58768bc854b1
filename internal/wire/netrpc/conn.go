package netrpc

import (
	"expvar"
	"net"
)

// Bytes read and written by all net/rpc connections of this process.
var (
	bytesRead    = expvar.NewInt("control-bytes-read")
	bytesWritten = expvar.NewInt("control-bytes-written")
)

// ByteCounts returns the number of bytes that all connections of this process have
// read and written.
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
