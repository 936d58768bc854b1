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

// defaultBefore is how far back beliefs are shown: a list or a desired state is
// seconds old at the most.
const defaultBefore = 10 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what became of a request, and what processes believed",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request"},
			&cli.DurationFlag{Name: "before", Usage: "how far back beliefs are shown", Value: defaultBefore},
			&cli.TimestampFlag{Name: "since", Usage: "without a request: beliefs from `TIME` on", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
			&cli.TimestampFlag{Name: "until", Usage: "without a request: beliefs up to `TIME`", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return settingsError{errors.New("name the log files of one process or more")}
	}
	var lines []journal.Line
	for _, path := range c.Args().Slice() {
		read, broken, err := readLog(path)
		if err != nil {
			return settingsError{err}
		}
		if broken > 0 {
			if _, err := fmt.Fprintf(c.Root().ErrWriter, "%s: %d lines could not be read\n", path, broken); err != nil {
				return err
			}
		}
		lines = append(lines, read...)
	}
	out := c.Root().Writer
	request := c.String("request")
	if request == "" {
		return printLines(out, journal.StateChangesBetween(lines, c.Timestamp("since"), c.Timestamp("until")))
	}
	beliefs, story := journal.RequestHistory(lines, request, c.Duration("before"))
	if len(story) == 0 {
		return errors.Errorf("no line tells of request %s: it reached none of these processes, or its lines were dropped (log-lines-dropped)", request)
	}
	if err := printLines(out, beliefs); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, "--", request); err != nil {
		return err
	}
	return printLines(out, story)
}

func readLog(path string) ([]journal.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "log")
	}
	lines, broken, err := journal.Read(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return lines, broken, errors.Wrap(err, path)
}

func printLines(out io.Writer, lines []journal.Line) error {
	for _, l := range lines {
		// The fields came from JSON, so encoding can't fail.
		fields, _ := json.Marshal(l.Fields)
		if _, err := fmt.Fprintf(out, "%s %-20s %-22s %s\n", l.At.Format("15:04:05.000"), l.Process, l.Message, fields); err != nil {
			return err
		}
	}
	return nil
}
