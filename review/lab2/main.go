// Command lab2 plays the cases of the second review: it starts the project's routers as separate
// processes, with stand-ins of clients, servers and the platform around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// timeLimit is how long a case may run. It is below the 120 s that are allowed.
const timeLimit = 110 * time.Second

// scenario plays a case. It returns how often the rule was broken.
type scenario func(l *lab) (broken int, err error)

var scenarios = map[string]scenario{
	"founder":  playFounder,
	"handover": playHandover,
	"length":   playLength,
}

// lab is what a case has: routers, servers and whether the disruption takes place.
type lab struct {
	*world
	fleet   *fleet
	trouble bool
}

func main() { os.Exit(run()) }

// run plays the case named by the first argument and writes its record into the folder named by the
// second one.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return exitNotRun
	}
	rec := newRecord()
	broken, err := play(rec, scenarios[os.Args[1]])
	switch {
	case err != nil:
		rec.add("result", "the case couldn't run: %v", err)
	case broken > 0:
		rec.add("result", "the rule was broken")
	default:
		rec.add("result", "the rule held")
	}
	if writeErr := rec.write(filepath.Join(os.Args[2], "record.txt")); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

func play(rec *record, s scenario) (int, error) {
	root, err := os.Getwd()
	if err != nil {
		return 0, err
	}
	w, err := newWorld(rec)
	if err != nil {
		return 0, err
	}
	f, err := newFleet(rec, root, w.list.Addr().String(), 3)
	if err != nil {
		return 0, err
	}
	defer f.close()
	done := make(chan error, 1)
	broken := 0
	w.tasks.Go(func() {
		var err error
		broken, err = s(&lab{world: w, fleet: f, trouble: os.Getenv("TROUBLE") != "0"})
		done <- err
	})
	select {
	case err := <-done:
		return broken, err
	case <-time.After(timeLimit):
		return 0, fmt.Errorf("not done after %v", timeLimit)
	}
}
