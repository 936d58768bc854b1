package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a router, relative to the first one. All routers use the same ports.
const (
	portCallers = iota
	portReadiness
	portOperators
	portInternal
	portMetrics
	portCount
)

// Values of the settings, as on the installation serra-rides.
const (
	graceSeconds = 8
	memoryMB     = 284
)

// router is one process of the fleet. It has a loopback address of its own.
type router struct {
	name, ip, zone, folder string
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	exited                 chan struct{}
	// ended is how the process ended, if the test didn't kill it.
	ended string
}

// fleet is a small deployment: routers with a disk, each in a zone of its own.
type fleet struct {
	record   *record
	root     string
	folder   string
	basePort int
	list     string
	routers  []*router
	// waits wait for the ends of processes.
	waits sync.WaitGroup
}

// newFleet prepares routers and their folders, without starting them.
func newFleet(rec *record, root, list string, count int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, root: root, folder: folder, list: list}
	prefix := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
	for i := range count {
		f.routers = append(f.routers, &router{
			name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), ip: prefix + strconv.Itoa(i+1),
			folder: filepath.Join(folder, fmt.Sprintf("front-%d", i+1)),
		})
	}
	f.basePort, err = freePorts(f.routers)
	return f, err
}

// spare returns a router that isn't part of the fleet yet.
func (f *fleet) spare() *router {
	last := f.routers[len(f.routers)-1]
	number := len(f.routers) + 1
	name := fmt.Sprintf("front-%d", number)
	prefix := strings.TrimSuffix(last.ip, strconv.Itoa(len(f.routers)))
	return &router{name: name, zone: f.routers[0].zone, ip: prefix + strconv.Itoa(number), folder: filepath.Join(f.folder, name)}
}

// remove takes a router out of the fleet for good.
func (f *fleet) remove(r *router) {
	f.record.add("process", "%s is removed", r.name)
	f.stop(r)
	f.routers = slices.DeleteFunc(f.routers, func(other *router) bool { return other == r })
}

// freePorts returns the first of portCount ports that are free at all addresses.
func freePorts(routers []*router) (int, error) {
	for range 100 {
		base := 20000 + rand.IntN(10000)
		if arePortsFree(routers, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func arePortsFree(routers []*router, base int) bool {
	for _, r := range routers {
		for port := base; port < base+portCount; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(r.ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) addr(r *router, port int) string {
	return net.JoinHostPort(r.ip, strconv.Itoa(f.basePort+port))
}

// writeSettings fills in the deploy file's template of the settings.
func (f *fleet) writeSettings(r *router, first bool) (string, error) {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.toml"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range f.routers {
		seeds = append(seeds, f.addr(other, portOperators))
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return "", err
	}
	text := strings.NewReplacer(
		"{{node_name}}", r.name, "{{zone}}", r.zone, "{{ip}}", r.ip,
		"{{listen.front}}", f.addr(r, portCallers), "{{listen.readiness_addr}}", f.addr(r, portReadiness), "{{listen.control}}", f.addr(r, portOperators),
		"{{internal_port_range.0}}", strconv.Itoa(f.basePort+portInternal), "{{internal_port_range.1}}", strconv.Itoa(f.basePort+portMetrics),
		"{{seeds|json}}", string(list), "{{bootstrap}}", strconv.FormatBool(first), "{{data_dir}}", r.folder, "{{cloud.address}}", f.list,
		"{{fault_tolerance.machines}}", "1", "{{limits.memory_mb}}", strconv.Itoa(memoryMB), "{{limits.max_fds}}", "4100", "{{bounds.grace_s}}", strconv.Itoa(graceSeconds),
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "62", "{{bounds.cap_factor}}", "2",
	).Replace(string(template))
	path := filepath.Join(f.folder, r.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process of a router with the command of the deploy file.
func (f *fleet) start(r *router, first bool) error {
	path, err := f.writeSettings(r, first)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(r.folder, 0o700); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	cmd := exec.Command(filepath.Join(f.root, "target", "bronzerill"), "run")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZERILL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited, r.ended = cmd, exited, ""
	r.mu.Unlock()
	f.record.add("process", "%s started", r.name)
	f.waits.Go(func() {
		_ = cmd.Wait() // the state tells how it ended
		r.mu.Lock()
		if r.cmd == cmd {
			r.ended = cmd.ProcessState.String()
			f.record.add("process", "%s ended: %s", r.name, r.ended)
		}
		r.mu.Unlock()
		close(exited)
	})
	return nil
}

// awaitEnd waits a while for the process to end by itself, and reports whether it has.
func (r *router) awaitEnd(limit time.Duration) bool {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// signal sends a signal to the process of a router.
func (f *fleet) signal(r *router, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil && r.ended == "" {
		_ = r.cmd.Process.Signal(s) // it may have ended meanwhile
		f.record.add("process", "%s gets %v", r.name, s)
	}
}

// stop kills the process of a router and waits for its end.
func (f *fleet) stop(r *router) {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.cmd = nil
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended by itself
	<-exited
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	var group sync.WaitGroup
	for _, r := range f.routers {
		group.Go(func() { f.stop(r) })
	}
	group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// excerpt returns the lines of a router's output that contain a text.
func (f *fleet) excerpt(r *router, text string, lines int) []string {
	data, err := os.ReadFile(filepath.Join(f.folder, r.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) && len(found) < lines {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// startAll starts all routers, declares the state and waits until every router is ready.
func (f *fleet) startAll(document string) error {
	for _, r := range f.routers {
		if err := f.start(r, true); err != nil {
			return err
		}
	}
	if err := f.declare(document, 20*time.Second); err != nil {
		return err
	}
	for _, r := range f.routers {
		if err := f.awaitReady(r, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}
