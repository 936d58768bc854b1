// Command lab plays the cases of the review. It starts routers as separate processes on loopback
// addresses, and plays the platform, the operator, the callers and the backend servers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

// cases maps the names of the cases to the functions that play them. A function returns what broke the
// rule, or an empty text.
var cases = map[string]func(l *lab) (broken string, err error){
	"late-order":    playLateOrder,
	"moved-stream":  playMovedStream,
	"foreign-entry": playForeignEntry,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		if err := runServer(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(runCase())
}

// runCase plays the case named by the first argument, and writes its record to the file named by the second.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD | lab server SETTINGS")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	l, err := newLab(record)
	if err != nil {
		record.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer l.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	l.tasks.Go(func() error {
		broken, err := cases[os.Args[1]](l)
		done <- result{broken, err}
		return nil
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	select {
	case r := <-done:
		return l.conclude(r.broken, r.err)
	case s := <-stopped:
		return l.conclude("", errors.Errorf("stopped by a signal: %v", s))
	case <-time.After(caseLimit):
		return l.conclude("", errors.New("the case did not end in time"))
	}
}

func (l *lab) conclude(broken string, err error) int {
	switch {
	case err != nil:
		l.record.add("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		l.record.add("RULE BROKEN: %s", broken)
		return exitBroken
	}
	l.record.add("the rule held")
	return exitHeld
}
