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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line of a process.
type Line struct {
	At      time.Time
	Process string
	Level   string
	Message string
	// Request is the request ID, empty in lines about the process itself.
	Request string
	// Fields holds all other fields of the line.
	Fields map[string]any
}

// Read parses the lines of a log. It skips and counts invalid lines. It ignores text before
// the first brace of a line, because log collectors add prefixes.
func Read(r io.Reader) (lines []Line, invalid int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 {
			if len(bytes.TrimSpace(text)) > 0 {
				invalid++
			}
			continue
		}
		line, err := parseLine(text[brace:])
		if err != nil {
			invalid++
			continue
		}
		lines = append(lines, line)
	}
	return lines, invalid, errors.Wrap(scanner.Err(), "read log")
}

func parseLine(text []byte) (Line, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, errors.Wrap(err, "decode log line")
	}
	takeString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{Process: takeString("@module"), Level: takeString("@level"), Message: takeString("@message"), Request: takeString("request")}
	timestamp, err := time.Parse("2006-01-02T15:04:05.999999Z07:00", takeString("@timestamp"))
	if err != nil {
		return Line{}, errors.Wrap(err, "parse timestamp")
	}
	line.At = timestamp
	line.Fields = fields
	return line, nil
}

// StateChanges lists the messages of log lines that record a state change of a process.
// The last line of each message before a request shows the state that the process used for
// the request.
var StateChanges = []string{
	"started", "stopping", "declared state taken", "settings reloaded", "settings not reloaded",
	"list of servers lost", "list of servers regained", "server listed", "server leaving", "server unlisted",
	"leader changed", "zone set", "replica started",
}

// RequestHistory returns the lines of a request as history. As changes it returns the state
// changes of the processes that logged the request. These include changes up to the given
// time before the first line of the request, and none after its last line. Both results are
// sorted by time. RequestHistory sorts the lines argument in place.
func RequestHistory(lines []Line, request string, before time.Duration) (changes, history []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first, last := time.Time{}, time.Time{}
	involved := make(map[string]bool)
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		involved[l.Process] = true
		history = append(history, l)
	}
	for _, l := range lines {
		inWindow := !l.At.Before(first.Add(-before)) && !l.At.After(last)
		if involved[l.Process] && l.Request == "" && inWindow && slices.Contains(StateChanges, l.Message) {
			changes = append(changes, l)
		}
	}
	return changes, history
}

// StateChangesBetween returns the state changes from since to until, sorted by time. A zero
// until means no upper limit. StateChangesBetween sorts the lines argument in place.
func StateChangesBetween(lines []Line, since, until time.Time) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var selected []Line
	for _, l := range lines {
		inWindow := !l.At.Before(since) && (until.IsZero() || !l.At.After(until))
		if inWindow && l.Request == "" && slices.Contains(StateChanges, l.Message) {
			selected = append(selected, l)
		}
	}
	return selected
}
