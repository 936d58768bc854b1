package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// process is a process of the program.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{}
}

// programFolder is where the program of all tests is built.
var programFolder string

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	status := m.Run()
	if programFolder != "" {
		_ = os.RemoveAll(programFolder) // it lies in the folder for temporary files
	}
	os.Exit(status)
}

// build builds the program, once for all tests.
var build = sync.OnceValues(func() (program string, err error) {
	if programFolder, err = os.MkdirTemp("", "bronzerill-test"); err != nil {
		return "", err
	}
	program = filepath.Join(programFolder, "bronzerill")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
})

// buildProgram returns the path of the program.
func buildProgram(t *testing.T) (program string) {
	program, err := build()
	require.NoError(t, err)
	return program
}

// startProcess starts a process that may have a number of descriptors open, 0 for as many as this one. It runs until the
// end of the test.
func startProcess(t *testing.T, descriptors int, program string, args ...string) *process {
	return startProcessTo(t, t.Output(), descriptors, program, args...)
}

// startProcessTo is startProcess with another place for the log.
func startProcessTo(t *testing.T, log io.Writer, descriptors int, program string, args ...string) *process {
	p := &process{t: t, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	if descriptors > 0 {
		p.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), program}, args...)...)
	}
	p.cmd.Stderr = log
	require.NoError(t, p.cmd.Start())
	var group errgroup.Group
	group.Go(func() error {
		_ = p.cmd.Wait() // the tests check whether the process runs
		close(p.ended)
		return nil
	})
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		require.NoError(t, group.Wait())
	})
	return p
}

// openDescriptors returns how many descriptors the process has open.
func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process runs")
	return len(entries)
}

// requireRuns fails if the process has ended.
func (p *process) requireRuns() {
	select {
	case <-p.ended:
		require.Fail(p.t, "the process has ended")
	default:
	}
}

func serve(t *testing.T, handler http.HandlerFunc) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	var group errgroup.Group
	group.Go(func() error { _ = s.Serve(listener); return nil })
	t.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// Ports of processes. They lie below those that the kernel gives to connections and to listeners without a port, which could take
// one before its process does.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddr returns an address at which nothing listens.
func freeAddr(t *testing.T) string {
	for {
		addr := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		return addr
	}
}

func (p *process) await(what string, done func() bool) {
	require.Eventually(p.t, done, 15*time.Second, 50*time.Millisecond, what)
}

// peakMB returns the largest resident memory that the process has had.
func (p *process) peakMB() int {
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process runs")
	defer func() { _ = status.Close() }()
	for lines := bufio.NewScanner(status); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			require.NoError(p.t, err)
			return kb >> 10
		}
	}
	require.Fail(p.t, "the process has ended")
	return 0
}

// residentBytes returns the resident memory of the process.
func (p *process) residentBytes() int {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process runs")
	var size, resident int
	_, err = fmt.Sscan(string(statm), &size, &resident)
	require.NoError(p.t, err)
	return resident * os.Getpagesize()
}

// unreadBytes returns how many bytes have arrived for the process that it hasn't read.
func (p *process) unreadBytes() int {
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(folder)
	require.NoError(p.t, err, "the process runs")
	sockets := make(map[string]bool)
	for _, entry := range entries {
		// A descriptor may have been closed meanwhile.
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil {
			sockets[target] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(p.t, err)
	sum := 0
	for line := range strings.Lines(string(table)) {
		const states, queues, inode = 3, 4, 9
		fields := strings.Fields(line)
		// The queue of a listener counts connections.
		if len(fields) <= inode || fields[states] == "0A" || !sockets["socket:["+fields[inode]+"]"] {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		require.NoError(p.t, err)
		sum += int(n)
	}
	return sum
}
