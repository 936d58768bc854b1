// Package command is the command line of bronzerill.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill"
)

// Version is the program's version.
const Version = "0.1.0"

// The exit codes.
const (
	ExitDone = iota
	// ExitFailed means that the command failed before anything changed.
	ExitFailed
	// ExitSettings means that settings or arguments are at fault.
	ExitSettings
	// ExitRefused means that the fleet refused, and nothing changed.
	ExitRefused
	// ExitUnknown means that the change may have been made; give the same
	// command again.
	ExitUnknown
)

// settingsError marks faults of settings and arguments.
type settingsError struct{ error }

// Unwrap returns the fault.
func (e settingsError) Unwrap() error { return e.error }

// Main runs one command and returns its exit code.
func Main(ctx context.Context, args []string, out, fault io.Writer) int {
	app := &cli.Command{
		Name:        "bronzerill",
		Usage:       "a router fleet for returning chats",
		Version:     Version,
		Writer:      out,
		ErrWriter:   fault,
		Description: "Exit codes: 0 done, 1 failed, 2 settings or arguments at fault, 3 refused by the fleet, 4 outcome unknown (give the same command again).",
		Commands: []*cli.Command{
			runCommand(), checkCommand(), initCommand(),
			ticketCommand(), zoneCommand(), reportCommand(), promiseCommand(),
			statusCommand(), repairCommand(), quarantineCommand(), explainCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(fault, "bronzerill:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var settings settingsError
	var known *bronzerill.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &settings):
		return ExitSettings
	case !errors.As(err, &known):
		return ExitFailed
	case known.Kind.Response().Run == bronzerill.RunNot:
		return ExitRefused
	}
	return ExitUnknown
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "bronzerill", Version)
			return err
		},
	}
}
