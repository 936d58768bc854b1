package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// node is one router process with its settings and state.
type node struct {
	index int
	// generation counts the machines that the router's machine has replaced, one after another.
	generation int32
	// hasDisk is set if the router has a data folder.
	hasDisk bool
	// bootstrap allows the router to found the control group. It is set only for the first
	// start.
	bootstrap bool
	// wipes counts lost disks. After each one the router starts with a new, empty data
	// folder.
	wipes int
	cmd   *exec.Cmd
	// done receives the error of cmd.Wait when the process has ended.
	done   chan error
	paused bool
	// stoppedAt is when SIGTERM was sent; zero while the router runs.
	stoppedAt time.Time
	// faultAt is when the process was started, or a signal last hit it that may end what it does.
	faultAt time.Time
	// link carries the traffic from other routers to this one.
	link *link
}

// fleet runs the routers on 127.0.0.1 and the addresses that follow. It signals only
// processes that it started.
type fleet struct {
	cfg      config
	listAddr string
	ports    map[string]int
	mu       sync.Mutex
	nodes    []*node
	// generations are those of the nodes.
	generations []atomic.Int32
}

// newFleet chooses free ports, opens the links and removes the logs and data of an
// earlier run of the seed. It starts no router.
func newFleet(cfg config, listAddr string) (*fleet, error) {
	f := &fleet{cfg: cfg, listAddr: listAddr, ports: make(map[string]int), generations: make([]atomic.Int32, cfg.routers)}
	for _, name := range []string{"callers", "readiness", "operators", "internal", "metrics"} {
		var err error
		if f.ports[name], err = f.freePort(); err != nil {
			return nil, err
		}
	}
	for i := range cfg.routers {
		routerLink, err := newLink(cfg, f.linkAddr(i), f.addr(i, "internal"))
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, &node{index: i, hasDisk: i < cfg.disks, bootstrap: true, link: routerLink})
	}
	// From the data of an earlier run of the seed, a router would restore that run's
	// control group.
	if err := os.RemoveAll(cfg.folder); err != nil {
		return nil, errors.Wrap(err, "remove the logs and data of an earlier run")
	}
	return f, os.MkdirAll(cfg.folder, 0o755)
}

// lowestPort and portCount are a range below the ephemeral ports. Connections can't take a port
// from it while a router is down.
const (
	lowestPort = 20_000
	portCount  = 12_000
)

// freePort returns a port that is free on the addresses of all routers.
func (f *fleet) freePort() (int, error) {
	first := os.Getpid()*31 + len(f.ports)
	for i := range portCount {
		port := lowestPort + (first+i)%portCount
		if f.isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func (f *fleet) isFree(port int) bool {
	for _, taken := range f.ports {
		if taken == port {
			return false
		}
	}
	for i := range f.cfg.routers {
		for _, host := range []string{"127.0.0", "127.0.1"} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", host, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// addr returns the address of one of a router's ports.
func (f *fleet) addr(i int, port string) string {
	return f.addrOf(i, f.generations[i].Load(), port)
}

func (f *fleet) addrOf(i int, generation int32, port string) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 2*generation, i+1, f.ports[port])
}

// linkAddr returns the address at which other routers reach a router.
func (f *fleet) linkAddr(i int) string { return f.linkAddrOf(i, f.generations[i].Load()) }

func (f *fleet) linkAddrOf(i int, generation int32) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 2*generation+1, i+1, f.ports["internal"])
}

// dataFolder returns the data folder of a router; empty if it has no disk.
func (f *fleet) dataFolder(n *node) string {
	if !n.hasDisk {
		return ""
	}
	return filepath.Join(f.cfg.folder, fmt.Sprintf("data-%d-%d-%d", n.index, n.generation, n.wipes))
}

// settings returns the content of a router's settings file.
func (f *fleet) settings(n *node) string {
	addr := func(port string) string { return f.addrOf(n.index, n.generation, port) }
	var seeds []string
	for i := range min(3, f.cfg.routers) {
		seeds = append(seeds, fmt.Sprintf("%q", f.linkAddr(i)))
	}
	return fmt.Sprintf(`name = "router-%d-%d"
zone = "zone-%d"
[limits]
max-descriptors = %d
[router]
callers = %q
readiness = %q
operators = %q
internal = %q
advertise = %q
metrics = %q
seeds = [%s]
found = %t
data-folder = %q
instance-list = %q
losses = 1
memory-mb = %d
stop-timeout = "8s"
[router.bounds]
retry-ratio = "0.2"
retry-slack = "62"
load-multiple = "2"
`, n.index, n.generation, n.index%3, crowdDescriptors, addr("callers"), addr("readiness"), addr("operators"),
		addr("internal"), f.linkAddrOf(n.index, n.generation), addr("metrics"), strings.Join(seeds, ", "), n.bootstrap, f.dataFolder(n), f.listAddr, memoryMB)
}

// start starts a router. After a restart it appends to the same log file.
func (f *fleet) start(n *node) error {
	path := filepath.Join(f.cfg.folder, fmt.Sprintf("router-%d-%d.toml", n.index, n.generation))
	if err := os.WriteFile(path, []byte(f.settings(n)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	out, err := os.OpenFile(filepath.Join(f.cfg.folder, fmt.Sprintf("router-%d.log", n.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(f.cfg.program, "run", "--settings", path)
	// Through a pipe, the log is written while the files of the process can't grow.
	log := &logWriter{out}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start router")
	}
	done := make(chan error, 1)
	f.cfg.tasks.Go(func() error {
		done <- cmd.Wait()
		return out.Close()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	n.cmd, n.done, n.paused, n.stoppedAt, n.faultAt = cmd, done, false, time.Time{}, time.Now()
	n.bootstrap = false
	return nil
}

// logWriter hides that the log is a file.
type logWriter struct{ io.Writer }

// signal sends a signal to a router that this fleet started.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s != syscall.SIGHUP {
		n.faultAt = time.Now()
	}
	if s == syscall.SIGTERM {
		n.stoppedAt = time.Now()
	}
	n.paused = s == syscall.SIGSTOP || n.paused && s != syscall.SIGCONT
	// Fails if the process has already exited, which is not an error here.
	_ = n.cmd.Process.Signal(s)
}

// await waits for a router to exit and kills it after the timeout. It reports whether
// the router exited with status 0.
func (f *fleet) await(n *node, timeout time.Duration) (clean bool) {
	select {
	case err := <-n.done:
		clean = err == nil
	case <-time.After(timeout):
		f.signal(n, syscall.SIGKILL)
		clean = <-n.done == nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.cmd = nil
	return clean
}

// isUp reports whether a router runs and is neither paused nor stopping.
func (f *fleet) isUp(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[i]
	return n.cmd != nil && !n.paused && n.stoppedAt.IsZero()
}

// hadFault reports whether a router was killed, paused, stopped or started since a time, or shortly
// before.
func (f *fleet) hadFault(i int, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[i]
	return n.cmd == nil || n.paused || !n.stoppedAt.IsZero() || since.Sub(n.faultAt) < settleTime
}

// stopAll kills all routers and closes their links.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.link.close()
		f.signal(n, syscall.SIGCONT)
		f.signal(n, syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		if n.cmd != nil {
			f.await(n, 5*time.Second)
		}
	}
}
