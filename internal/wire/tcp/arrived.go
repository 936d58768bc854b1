package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ReadArrived reads bytes that have arrived, whatever the read deadline. It doesn't wait, and returns 0 if there are none or
// the connection is closed. The caller is its only reader.
func ReadArrived(conn syscall.Conn, p []byte) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n, readErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), p) }); err != nil || readErr != nil {
		return 0
	}
	return n
}
