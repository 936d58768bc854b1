package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	Process string
	Level   string
	Message string
	// Request is the request's ID, empty in lines about the process itself.
	Request string
	// Fields are the other fields.
	Fields map[string]any
}

// Read reads the lines of a log. Lines that can't be read are counted. Text before
// the first brace of a line, as log collectors put it there, is passed over.
func Read(r io.Reader) (lines []Line, broken int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			if len(bytes.TrimSpace(text)) > 0 {
				broken++
			}
			continue
		}
		line, err := parse(text[brace:])
		if err != nil {
			broken++
			continue
		}
		lines = append(lines, line)
	}
	return lines, broken, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, errors.Wrap(err, "decode line")
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{Process: take("@module"), Level: take("@level"), Message: take("@message"), Request: take("request")}
	at, err := time.Parse("2006-01-02T15:04:05.999999Z07:00", take("@timestamp"))
	if err != nil {
		return Line{}, errors.Wrap(err, "time of line")
	}
	line.At = at
	line.Fields = fields
	return line, nil
}

// StateChanges are the messages that change what a process believes; the last of each
// before a request tells what decided it.
var StateChanges = []string{
	"started", "stopping", "declared state taken", "settings reloaded", "settings not reloaded",
	"list of servers lost", "list of servers regained", "server listed", "server leaving", "server unlisted",
	"leader changed", "zone set", "replica started",
}

// RequestHistory returns the lines of one request in order, and before them, for each
// process that took part, what it came to believe within the time before.
func RequestHistory(lines []Line, request string, before time.Duration) (beliefs, story []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first, last := time.Time{}, time.Time{}
	processes := make(map[string]bool)
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		processes[l.Process] = true
		story = append(story, l)
	}
	for _, l := range lines {
		recent := !l.At.Before(first.Add(-before)) && !l.At.After(last)
		if processes[l.Process] && l.Request == "" && recent && slices.Contains(StateChanges, l.Message) {
			beliefs = append(beliefs, l)
		}
	}
	return beliefs, story
}

// StateChangesBetween returns the lines about processes themselves in a span of time.
func StateChangesBetween(lines []Line, since, until time.Time) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var found []Line
	for _, l := range lines {
		inside := !l.At.Before(since) && (until.IsZero() || !l.At.After(until))
		if inside && l.Request == "" && slices.Contains(StateChanges, l.Message) {
			found = append(found, l)
		}
	}
	return found
}
