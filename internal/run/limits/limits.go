// Package limits derives what a process may hold from the memory and the descriptors that it has, so that all its
// parts fit together.
package limits

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzerill/internal/settings/file"
	"bronzerill/internal/wire/httpport"
	"bronzerill/internal/wire/memory"
)

// Shares of the memory of a process.
const (
	// heapPercent is the share of the memory that the heap may use before garbage is
	// collected more often. The rest is for sockets and for the heap's growth beyond the
	// limit until garbage is collected.
	heapPercent = 50
	// bodyPercent is the share of the memory that the bodies and long heads of requests and responses may take. With
	// connectionPercent and the own data of a role it stays near heapPercent, so that the collection of garbage keeps up.
	bodyPercent = 20
	// connectionPercent is the share of the memory that callers' connections may take, within the process and in
	// its sockets, and connectionMemory what one of them takes at most, in bytes.
	connectionPercent = 25
	connectionMemory  = 64 << 10
	// defaultBodyMemory is what bodies may take without a memory limit, in bytes.
	defaultBodyMemory = 256 << 20
)

// Limits of the number of connections.
const (
	// One in callerDivisor descriptors may be a connection of a caller or an entry. The requests on these take up to twice as
	// many for calls to servers. What is left is for other ports, peers and files.
	callerDivisor = 5
	// One in otherDivisor descriptors may be a connection of each other port, and minOther at least.
	otherDivisor = 64
	minOther     = 16
	// maxCallers and maxOther are the largest numbers by default.
	maxCallers = 16_384
	maxOther   = 256
)

// Limits is what a process may hold.
type Limits struct {
	// Memory is what the bodies and long heads of all requests and responses may take.
	Memory *memory.Budget
	// Connections is how many connections each port for callers or entries may have open, and OtherConnections each other
	// port.
	Connections, OtherConnections int
	// StallTimeout is how long a client may take for the next part of a request or response.
	StallTimeout time.Duration
}

// Apply returns the limits of this process, and limits its heap. It reads the limit of descriptors of the process
// unless the settings have one.
func Apply(s file.Settings) (Limits, error) {
	descriptors := s.Limits.MaxDescriptors
	if descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return Limits{}, errors.Wrap(err, "read the limit of descriptors")
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	if bytes := s.MemoryBytes(); bytes > 0 {
		debug.SetMemoryLimit(share(bytes, heapPercent))
	}
	return derive(s, descriptors), nil
}

// derive returns the limits of a process that may have a number of descriptors open.
func derive(s file.Settings, descriptors int) Limits {
	ports := callerPorts(s)
	l := Limits{
		Connections:      min(maxCallers, max(1, descriptors/callerDivisor/ports)),
		OtherConnections: min(maxOther, max(minOther, descriptors/otherDivisor)),
		StallTimeout:     s.Limits.StallTimeout.Duration,
	}
	bodies := int64(defaultBodyMemory)
	if bytes := s.MemoryBytes(); bytes > 0 {
		bodies = share(bytes, bodyPercent)
		l.Connections = min(l.Connections, int(share(bytes, connectionPercent)/connectionMemory)/ports)
	}
	if s.Limits.MaxConnections > 0 {
		l.Connections = s.Limits.MaxConnections
	}
	l.Memory = memory.NewBudget(bodies)
	return l
}

// callerPorts returns how many ports of the process are for callers or entries, 1 at least. They share what connections may take.
func callerPorts(s file.Settings) int {
	ports := 0
	for _, has := range []bool{s.Router != nil, s.Entry != nil, s.Agent != nil} {
		if has {
			ports++
		}
	}
	return max(1, ports)
}

// share returns a percentage of a number of bytes. It can't overflow.
func share(bytes, percent int64) int64 { return bytes/100*percent + bytes%100*percent/100 }

// CallerPort returns the configuration of the port for callers.
func (l Limits) CallerPort(name string) httpport.Config {
	return httpport.Config{Name: name, Memory: l.Memory, MaxConns: l.Connections, StallTimeout: l.StallTimeout}
}

// OtherPort returns the configuration of a port for operators, readiness checks or metrics.
func (l Limits) OtherPort(name string) httpport.Config {
	return httpport.Config{Name: name, Memory: l.Memory, MaxConns: l.OtherConnections, StallTimeout: l.StallTimeout}
}
