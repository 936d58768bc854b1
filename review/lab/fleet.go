package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Names of a router's ports.
const (
	portCallers   = "callers"
	portReadiness = "readiness"
	portOperators = "operators"
	portInternal  = "internal"
	portMetrics   = "metrics"
)

var portNames = []string{portCallers, portReadiness, portOperators, portInternal, portMetrics}

// lab holds the processes and stand-ins of one case.
type lab struct {
	record *record
	// trouble is false if the case is played without its disruption.
	trouble  bool
	folder   string
	program  string
	self     string
	ports    map[string]int
	routers  []*router
	servers  []*backend
	platform *platformList
	tasks    errgroup.Group
}

// router is one router process.
type router struct {
	name, zone string
	index      int
	disk       bool
	cmd        *exec.Cmd
	link       *link
}

func newLab(r *record) (*lab, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "own program")
	}
	// The program lies in review/bin.
	program := filepath.Join(filepath.Dir(self), "..", "..", "target", "bronzerill")
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Wrap(err, "the program of the deploy file is not built")
	}
	return &lab{
		record: r, trouble: os.Getenv("TROUBLE") != "0", folder: folder, program: program, self: self,
		ports: make(map[string]int),
	}, nil
}

// Ports are taken from a range below the ephemeral ports.
const (
	lowestPort = 20_000
	portCount  = 12_000
)

// maxHosts is the number of addresses on which a port has to be free.
const maxHosts = 16

func (l *lab) freePort() (int, error) {
	first := os.Getpid()*37 + len(l.ports)*101
	for i := range portCount {
		port := lowestPort + (first+i)%portCount
		taken := false
		for _, other := range l.ports {
			taken = taken || other == port
		}
		if !taken && isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func isFree(port int) bool {
	for _, network := range []string{"127.0.0", "127.0.1"} {
		for i := range maxHosts {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close() // nothing was accepted
		}
	}
	return true
}

// addr returns the address of one of a router's ports.
func (l *lab) addr(r *router, port string) string {
	return fmt.Sprintf("127.0.0.%d:%d", r.index+1, l.ports[port])
}

// linkAddr returns the address at which other routers reach a router.
func (l *lab) linkAddr(index int) string {
	return fmt.Sprintf("127.0.1.%d:%d", index+1, l.ports[portInternal])
}

// startRouters starts the routers of a small deployment. The first ones have a disk.
func (l *lab) startRouters(zones []string, disks int) error {
	for _, name := range portNames {
		var err error
		if l.ports[name], err = l.freePort(); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		r := &router{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, index: i, disk: i < disks}
		var err error
		if r.link, err = l.newLink(l.linkAddr(i), l.addr(r, portInternal)); err != nil {
			return err
		}
		l.routers = append(l.routers, r)
	}
	for _, r := range l.routers {
		if err := l.startRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// settings fills in the template of the deploy file. The advertised address leads through the link.
func (l *lab) settings(r *router) string {
	var seeds []string
	for i := range min(3, len(l.routers)) {
		seeds = append(seeds, fmt.Sprintf("%q", l.linkAddr(i)))
	}
	folder := ""
	if r.disk {
		folder = filepath.Join(l.folder, "data-"+r.name)
	}
	return fmt.Sprintf(`name = %q
zone = %q
[router]
callers = %q
readiness = %q
operators = %q
internal = %q
advertise = %q
metrics = %q
seeds = [%s]
found = true
data-folder = %q
instance-list = %q
losses = 1
memory-mb = 284
stop-timeout = "8s"
[router.bounds]
retry-ratio = "0.2"
retry-slack = "62"
load-multiple = "2"
`, r.name, r.zone, l.addr(r, portCallers), l.addr(r, portReadiness), l.addr(r, portOperators), l.addr(r, portInternal),
		l.linkAddr(r.index), l.addr(r, portMetrics), strings.Join(seeds, ", "), folder, l.platform.addr)
}

func (l *lab) startRouter(r *router) error {
	path := filepath.Join(l.folder, r.name+".toml")
	if err := os.WriteFile(path, []byte(l.settings(r)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	out, err := os.Create(filepath.Join(l.folder, r.name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	r.cmd = exec.Command(l.program, "run")
	r.cmd.Env = append(os.Environ(), "BRONZERILL_SETTINGS="+path)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		return errors.Wrap(err, "start router")
	}
	l.record.add("router %s started, disk %t", r.name, r.disk)
	return nil
}

// stopTimeout is how long a process may take to exit after SIGKILL.
const stopTimeout = 5 * time.Second

// end kills a process that the case started, and waits for it.
func end(cmd *exec.Cmd) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	// Both fail if the process has exited.
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	done := make(chan struct{})
	var wait errgroup.Group
	wait.Go(func() error {
		_ = cmd.Wait() // it was killed
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (l *lab) close() {
	for _, r := range l.routers {
		r.link.close()
		end(r.cmd)
	}
	for _, b := range l.servers {
		end(b.cmd)
	}
	if l.platform != nil {
		_ = l.platform.http.Close() // the case is over
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs:", l.folder)
		return
	}
	if err := os.RemoveAll(l.folder); err != nil {
		fmt.Fprintln(os.Stderr, "temporary folder:", err)
	}
}
