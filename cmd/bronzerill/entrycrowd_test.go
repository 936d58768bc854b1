package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzerill/internal/entry/caller"
	"bronzerill/internal/standin/booking"
)

const (
	apiKey = "api-key-of-the-customer"
	// entryLegalBody is the largest body that callers may send to an entry.
	entryLegalBody = 1 << 20
	bookingsPath   = "/v1/services/desk/bookings"
	// largeReply is the largest reply of the booking server. Clients of crowds get it.
	largeReply    = 8 << 20
	bookingFields = "Authorization: Bearer " + apiKey + "\r\nIdempotency-Key: ID\r\n"
)

// entryFleet is a small fleet of processes with a booking server of this test.
type entryFleet struct {
	t               *testing.T
	program, folder string
	control         string
	operators       map[string]string
}

// settings writes a settings file and returns its path.
func (f *entryFleet) settings(name, sections string) (path string) {
	path = filepath.Join(f.folder, name+".toml")
	f.operators[name] = freeAddr(f.t)
	text := fmt.Sprintf("name = %q\nzone = \"gramado\"\nsecret-file = %q\ncontrol-replicas = [%q]\n%s[operator]\nlisten = %q\nsecret-file = %q\n",
		name, f.file("fleet.secret"), f.control, sections, f.operators[name], f.file("operator.secret"))
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *entryFleet) file(name string) string { return filepath.Join(f.folder, name) }

// run runs a command to its end.
func (f *entryFleet) run(args ...string) error {
	output, err := exec.Command(f.program, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%v: %w: %s", args, err, output)
	}
	return nil
}

// backend is a backend server of this test, and how callers call it.
type backend struct {
	// kind is that of its pool, which has a number of slots.
	kind  string
	slots int
	serve http.HandlerFunc
	// newRequest returns an ordinary request to an entry.
	newRequest func(entryURL string, body io.Reader) (*http.Request, error)
	// status is that of the response to it.
	status int
}

// bookingServer returns a booking server. Clients of crowds get large replies.
func bookingServer() backend {
	bookings := booking.NewServer(0).Handler()
	var lastKey atomic.Int64
	return backend{
		kind: "service", slots: 64, status: http.StatusCreated,
		serve: func(w http.ResponseWriter, r *http.Request) {
			var client, n int
			if _, err := fmt.Sscanf(r.Header.Get("Idempotency-Key"), "crowd-%d-%d", &client, &n); err == nil {
				_, _ = w.Write(make([]byte, largeReply>>(client%halvings))) // the agent sees whether it is whole
				return
			}
			bookings.ServeHTTP(w, r)
		},
		newRequest: func(entryURL string, body io.Reader) (*http.Request, error) {
			request, err := http.NewRequest(http.MethodPost, entryURL+bookingsPath, body)
			if err == nil {
				request.Header.Set("Idempotency-Key", fmt.Sprint("ordinary-", lastKey.Add(1)))
			}
			return request, err
		},
	}
}

// startEntry starts a fleet with a booking server.
func startEntry(t *testing.T) (entry, agent, control *target) {
	return startFleet(t, fleetConfig{backend: bookingServer(), entryLog: t.Output()})
}

// fleetConfig configures a fleet of a test.
type fleetConfig struct {
	backend
	// entryLog gets the log of the entry.
	entryLog io.Writer
}

// startFleet starts a control replica, an agent with a backend server, and an entry, each with the limits of a crowd's
// target. The address of the control replica is its operators' port.
func startFleet(t *testing.T, cfg fleetConfig) (entry, agent, control *target) {
	f := &entryFleet{t: t, program: buildProgram(t), folder: t.TempDir(), control: freeAddr(t), operators: make(map[string]string)}
	for _, name := range []string{"fleet.secret", "operator.secret"} {
		require.NoError(t, os.WriteFile(f.file(name), []byte(name+" of this test"), 0o600))
	}
	limits := fmt.Sprintf("[limits]\nmemory-mb = %d\n", crowdMemoryMB)
	controlSettings := f.settings("control", limits+fmt.Sprintf("[control]\nlisten = %q\ndata-folder = %q\n", f.control, f.file("data")))
	require.NoError(t, f.run("init", "--settings", controlSettings, "--replica", "control="+f.control))
	controlProcess := startProcess(t, crowdDescriptors, f.program, "run", "--settings", controlSettings)
	ticket := fmt.Sprintf("number = 1\n[[zone]]\nname = \"gramado\"\n[[pool]]\nname = \"desk\"\nkind = %q\nload-multiple = 1.5\nslots = %[2]d\nfloor-slots = %[2]d\ncold-slots = %[2]d\nramp-step = 1\n", cfg.kind, cfg.slots) +
		fmt.Sprintf("[[customer]]\nname = \"hotel\"\nkey-hash = %q\nweight = 1\n", caller.KeyHash(apiKey)) +
		"[[policy]]\nname = \"desk\"\npool = \"desk\"\nspill-hops = 3\nqueue-timeout-ms = 2000\n"
	require.NoError(t, os.WriteFile(f.file("ticket.toml"), []byte(ticket), 0o600))
	require.Eventually(t, func() bool {
		return f.run("ticket", "submit", "--operator", f.operators["control"], "--secret-file", f.file("operator.secret"), f.file("ticket.toml")) == nil
	}, patience, crowdPause, "the ticket is accepted")

	agentAddr, entryAddr := freeAddr(t), freeAddr(t)
	agentSettings := f.settings("agent", limits+fmt.Sprintf("[agent]\nlisten = %q\nserver = \"server-1\"\npool = \"desk\"\nkind = %q\nbackend = \"http://%s\"\n", agentAddr, cfg.kind, serve(t, cfg.serve)))
	entrySettings := f.settings("entry", limits+fmt.Sprintf("[entry]\nlisten = %q\nbalancer-delay = \"1s\"\n", entryAddr))
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(body io.Reader) int {
		request, err := cfg.newRequest("http://"+entryAddr, body)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+apiKey)
		response, err := client.Do(request.WithContext(t.Context()))
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == cfg.status {
			return http.StatusOK
		}
		return response.StatusCode
	}
	entry = &target{process: startProcessTo(t, cfg.entryLog, crowdDescriptors, f.program, "run", "--settings", entrySettings), addr: entryAddr, call: call, legalBody: entryLegalBody}
	agent = &target{process: startProcess(t, crowdDescriptors, f.program, "run", "--settings", agentSettings), addr: agentAddr, call: call, legalBody: entryLegalBody}
	require.Eventually(t, func() bool { return call(strings.NewReader("{}")) == http.StatusOK }, patience, crowdPause, "the first response")
	control = &target{process: controlProcess, addr: f.operators["control"], call: call, legalBody: entryLegalBody}
	return entry, agent, control
}

// Guards against clients of an entry that send many bodies at once and don't finish them, or hold its connections
// (issue 52).
func TestEntryEnduresCrowds(t *testing.T) {
	const length, chunks = bookingFields + "Content-Length: LENGTH\r\n", bookingFields + "Transfer-Encoding: chunked\r\n"
	legal := make([]byte, entryLegalBody-1)
	tests := map[string]struct {
		clients int
		behave  behavior
	}{
		"whole":             {350, sendBody(bookingsPath, length, legal, entryLegalBody)},
		"small chunks":      {350, sendBody(bookingsPath, chunks, chunked(1<<20, 8, ""), entryLegalBody)},
		"nothing of a body": {400, sendBody(bookingsPath, bookingFields+"Content-Length: 100\r\n", nil, 1)},
		"sent large":        {bodyClients, sendBody(bookingsPath, chunks, chunked(16<<20, 1<<16, ""), entryLegalBody)},
		"long heads":        {400, sendBody(bookingsPath, bookingFields+"Content-Length: 1\r\n"+shortFields(28<<10), nil, 1)},
		"without a key":     {400, sendBody(bookingsPath, "Content-Length: LENGTH\r\n", legal, entryLegalBody)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			entry, _, _ := startEntry(t)
			entry.requireEndures(test.clients, test.behave)
		})
	}
}

// Guards against a process that hangs since nobody reads its log, to which clients make it write (issue 52).
func TestEntryEnduresStalledLog(t *testing.T) {
	unread, log, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = unread.Close()
		_ = log.Close()
	})
	entry, _, _ := startFleet(t, fleetConfig{backend: bookingServer(), entryLog: log})
	entry.requireEndures(bodyClients, sendText("POST "+bookingsPath+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}

// Guards against connections to an agent that take its memory or its descriptors (issue 52).
func TestAgentEnduresCrowds(t *testing.T) {
	tests := map[string]string{
		"unused":        "",
		"long heads":    "POST /v1/exchange HTTP/1.1\r\nHost: h\r\n" + shortFields(60<<10),
		"without a key": "POST /v1/exchange HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 900_000),
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			_, agent, _ := startEntry(t)
			agent.requireEndures(crowdDescriptors+100, sendText(sent))
		})
	}
}

// largeReplies are crowds that ask an entry for large replies, and read them or not.
func largeReplies() map[string]behavior {
	request := "POST " + bookingsPath + " HTTP/1.1\r\nHost: h\r\n" + bookingFields + "Content-Length: 2\r\n\r\n{}"
	return map[string]behavior{
		"read": sendText(request),
		"unread": func(conn net.Conn, _ int, id string) error {
			if _, err := io.WriteString(conn, strings.Replace(request, "ID", id, 1)); err != nil {
				return err
			}
			return leaveUnread(conn)
		},
	}
}

// Guards against large replies, many at once, that agents hold (issue 52).
func TestAgentEnduresLargeReplies(t *testing.T) {
	for name, behave := range largeReplies() {
		t.Run(name, func(t *testing.T) {
			entry, agent, _ := startEntry(t)
			agent.addr = entry.addr
			agent.requireEndures(bodyClients, behave)
		})
	}
}

// Guards against large replies, many at once, that entries pass on (issue 52).
func TestEntryEnduresLargeReplies(t *testing.T) {
	for name, behave := range largeReplies() {
		t.Run(name, func(t *testing.T) {
			entry, _, _ := startEntry(t)
			entry.requireEndures(bodyClients, behave)
		})
	}
}
