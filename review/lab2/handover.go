package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// Times of the case of the planned replacement.
const (
	// catchUp is more than catch_up_s, which a new machine has.
	catchUp = 8 * time.Second
	// lossDelay is the time between the end of the machine that leaves and the loss of a disk.
	lossDelay = 500 * time.Millisecond
	// downTime is how long the machine with the lost disk is down.
	downTime = time.Second
	// recovery is recovery_s, and readBack how long the desired state is read back after it, which
	// is more than contact_window_ms.
	recovery = 12 * time.Second
	readBack = 10 * time.Second
)

// withVersion returns a desired state under another version.
func withVersion(document string, version uint64) string {
	return strings.Replace(document, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
}

// playHandover replaces a machine of the core as planned, the new one first. Once the old one has
// ended, another machine loses its disk.
func playHandover(l *lab) (broken int, err error) {
	if _, err := l.addServer("sound", l.fleet.routers[0].zone, 5*time.Millisecond); err != nil {
		return 0, err
	}
	leaving, losing := l.fleet.routers[0], l.fleet.routers[1]
	successor := l.fleet.spare()
	if err := l.fleet.startAll(lengthDocument); err != nil {
		return 0, err
	}
	time.Sleep(catchUp)
	if err := l.fleet.start(successor, false); err != nil {
		return 0, err
	}
	if err := l.fleet.awaitReady(successor, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(catchUp)
	l.fleet.signal(leaving, syscall.SIGTERM)
	if !leaving.awaitEnd((graceSeconds + 1) * time.Second) {
		return 0, fmt.Errorf("%s doesn't stop", leaving.name)
	}
	l.fleet.remove(leaving)
	l.fleet.routers = append(l.fleet.routers, successor)
	if err := l.fleet.declare(withVersion(lengthDocument, 8), 5*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(lossDelay)
	if l.trouble {
		if err := l.loseDisk(losing); err != nil {
			return 0, err
		}
	}
	time.Sleep(recovery)
	if l.readBack(8, readBack) {
		return 0, nil
	}
	l.record.add("result", "version 8 was acknowledged, and doesn't come for %v, %v after all machines are back", readBack, recovery)
	return 1, nil
}

// loseDisk ends a router, removes its folder and starts it again at its address.
func (l *lab) loseDisk(r *router) error {
	l.record.add("process", "%s is killed and loses its disk", r.name)
	l.fleet.stop(r)
	if err := os.RemoveAll(r.folder); err != nil {
		return err
	}
	time.Sleep(downTime)
	return l.fleet.start(r, false)
}

// readBack reads the desired state at one router after the other until the version comes, or a newer
// one.
func (l *lab) readBack(version uint64, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		r := l.fleet.routers[i%len(l.fleet.routers)]
		status, body, err := call(http.MethodGet, "http://"+l.fleet.addr(r, portOperators)+"/v1/config", "")
		var state struct {
			Version uint64 `json:"version"`
		}
		if status == http.StatusOK {
			err = json.Unmarshal([]byte(body), &state)
		}
		l.record.add("operator", "GET /v1/config at %s: status %d, version %d, error %v", r.name, status, state.Version, err)
		if state.Version >= version {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
