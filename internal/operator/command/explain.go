package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill/internal/operator/journal"
)

// defaultBefore is the default length of the period before a request of which state
// changes are shown. A server list or a declared state is at most a few seconds old.
const defaultBefore = 10 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of a request and the state changes of processes before it",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request"},
			&cli.DurationFlag{Name: "before", Usage: "length of the period before the request of which state changes are shown", Value: defaultBefore},
			&cli.TimestampFlag{Name: "since", Usage: "without a request: state changes from `TIME` on", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
			&cli.TimestampFlag{Name: "until", Usage: "without a request: state changes up to `TIME`", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return settingsError{errors.New("no log files given")}
	}
	var lines []journal.Line
	for _, path := range c.Args().Slice() {
		parsed, invalid, err := readLog(path)
		if err != nil {
			return settingsError{err}
		}
		if invalid > 0 {
			if _, err := fmt.Fprintf(c.Root().ErrWriter, "%s: skipped %d invalid lines\n", path, invalid); err != nil {
				return err
			}
		}
		lines = append(lines, parsed...)
	}
	out := c.Root().Writer
	request := c.String("request")
	if request == "" {
		return printLines(out, journal.StateChangesBetween(lines, c.Timestamp("since"), c.Timestamp("until")))
	}
	changes, history := journal.RequestHistory(lines, request, c.Duration("before"))
	if len(history) == 0 {
		return errors.Errorf("no log lines of request %s: it reached none of these processes, or its lines were dropped (log-lines-dropped)", request)
	}
	if err := printLines(out, changes); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, "--", request); err != nil {
		return err
	}
	return printLines(out, history)
}

func readLog(path string) ([]journal.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "log")
	}
	lines, invalid, err := journal.Read(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return lines, invalid, errors.Wrap(err, path)
}

func printLines(out io.Writer, lines []journal.Line) error {
	for _, line := range lines {
		// The fields came from JSON, so encoding can't fail.
		fields, _ := json.Marshal(line.Fields)
		if _, err := fmt.Fprintf(out, "%s %-20s %-22s %s\n", line.At.Format("15:04:05.000"), line.Process, line.Message, fields); err != nil {
			return err
		}
	}
	return nil
}
