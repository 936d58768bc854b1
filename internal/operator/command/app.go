// Package command implements the command line of bronzerill.
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

// Exit codes of the program.
const (
	ExitDone = iota
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed
	// ExitSettings means that the settings or arguments are invalid.
	ExitSettings
	// ExitRefused means that the fleet refused the command and changed nothing.
	ExitRefused
	// ExitUnknown means that the change may have taken effect. The operator should
	// repeat the command.
	ExitUnknown
)

// settingsError marks an error as caused by settings or arguments.
type settingsError struct{ error }

// Unwrap returns the underlying error.
func (e settingsError) Unwrap() error { return e.error }

// Main runs the command in args and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := &cli.Command{
		Name:        "bronzerill",
		Usage:       "a router fleet for returning chats",
		Version:     Version,
		Writer:      out,
		ErrWriter:   errOut,
		Description: "Exit codes: 0 done, 1 failed, 2 invalid settings or arguments, 3 refused by the fleet, 4 outcome unknown (repeat the command).",
		Commands: []*cli.Command{
			runCommand(), checkCommand(), initCommand(),
			ticketCommand(), zoneCommand(), reportCommand(), promiseCommand(),
			statusCommand(), repairCommand(), quarantineCommand(), explainCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bronzerill:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var settings settingsError
	var fleetError *bronzerill.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &settings):
		return ExitSettings
	case !errors.As(err, &fleetError):
		return ExitFailed
	case fleetError.Kind.Response().Run == bronzerill.RunNot:
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
