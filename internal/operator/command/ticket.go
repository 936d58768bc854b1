package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill"
	"bronzerill/internal/control/operator"
)

// inForceTimeout limits the wait until a ticket is in force.
const inForceTimeout = 15 * time.Second

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "submit, test, show and list change tickets",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a ticket and wait until it is in force", ArgsUsage: "FILE",
				Flags: operatorFlags(), Action: submitTicket,
			},
			{
				Name: "dry-run", Usage: "print what a ticket would change", ArgsUsage: "FILE",
				Flags: operatorFlags(), Action: dryRunTicket,
			},
			{
				Name: "show", Usage: "print the outcome of a ticket", ArgsUsage: "NUMBER",
				Flags: operatorFlags(), Action: showTicket,
			},
			{Name: "list", Usage: "list the tickets", Flags: operatorFlags(), Action: listTickets},
		},
	}
}

// loadTicket reads a ticket from a TOML file. It returns an error for unknown keys.
func loadTicket(path string) (bronzerill.Ticket, error) {
	var t bronzerill.Ticket
	data, err := os.ReadFile(path)
	if err != nil {
		return t, settingsError{errors.Wrap(err, "ticket")}
	}
	err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&t)
	var strictError *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch {
	case errors.As(err, &strictError):
		return t, settingsError{errors.Errorf("%s: unknown keys:\n%s", path, strictError.String())}
	case errors.As(err, &decodeError):
		line, column := decodeError.Position()
		return t, settingsError{errors.Errorf("%s: line %d, column %d: %v", path, line, column, decodeError)}
	case err != nil:
		return t, settingsError{errors.Wrap(err, path)}
	}
	return t, nil
}

func ticketArgument(c *cli.Command) (bronzerill.Ticket, *client, error) {
	t, err := loadTicket(c.Args().First())
	if err != nil {
		return t, nil, err
	}
	cl, err := newClient(c)
	return t, cl, err
}

func submitTicket(ctx context.Context, c *cli.Command) error {
	t, cl, err := ticketArgument(c)
	if err != nil {
		return err
	}
	return submit(ctx, c, cl, t)
}

func submit(ctx context.Context, c *cli.Command, cl *client, t bronzerill.Ticket) error {
	var reply operator.Reply
	if err := cl.call(ctx, http.MethodPost, "/v1/tickets", t, &reply); err != nil {
		return err
	}
	path := "/v1/tickets/" + strconv.FormatUint(t.Number, 10)
	inForce, err := poll(ctx, inForceTimeout, func(ctx context.Context) (bool, error) {
		if reply.InForce {
			return true, nil
		}
		err := cl.call(ctx, http.MethodGet, path, nil, &reply)
		return reply.InForce, err
	})
	if err != nil {
		return err
	}
	if !inForce {
		return bronzerill.Errorf(bronzerill.KindNoQuorum, "ticket %d is accepted, but was not confirmed to be in force within %s", t.Number, inForceTimeout)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "ticket %d is in force at revision %d\n", t.Number, reply.Outcome.Revision)
	return err
}

func dryRunTicket(ctx context.Context, c *cli.Command) error {
	t, cl, err := ticketArgument(c)
	if err != nil {
		return err
	}
	var differences []bronzerill.Difference
	if err := cl.call(ctx, http.MethodPost, "/v1/tickets/dry-run", t, &differences); err != nil {
		return err
	}
	return printJSON(c, differences)
}

func showTicket(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var reply operator.Reply
	if err := cl.call(ctx, http.MethodGet, "/v1/tickets/"+c.Args().First(), nil, &reply); err != nil {
		return err
	}
	return printJSON(c, reply)
}

func listTickets(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var outcomes []bronzerill.Outcome
	if err := cl.call(ctx, http.MethodGet, "/v1/tickets", nil, &outcomes); err != nil {
		return err
	}
	return printJSON(c, outcomes)
}

func zoneCommand() *cli.Command {
	number := &cli.Uint64Flag{Name: "number", Usage: "ticket `NUMBER`; the default is the next unused number"}
	return &cli.Command{
		Name:  "zone",
		Usage: "take a data centre out of service, or bring it back",
		Commands: []*cli.Command{
			{Name: "out", Usage: "stop sending new requests to a data centre", ArgsUsage: "ZONE", Flags: operatorFlags(number), Action: zoneAction(true)},
			{Name: "in", Usage: "resume sending requests to a data centre", ArgsUsage: "ZONE", Flags: operatorFlags(number), Action: zoneAction(false)},
		},
	}
}

func zoneAction(out bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().First() == "" {
			return settingsError{errors.New("no zone given")}
		}
		cl, err := newClient(c)
		if err != nil {
			return err
		}
		number, err := ticketNumber(ctx, cl, c.Uint64("number"))
		if err != nil {
			return err
		}
		t := bronzerill.Ticket{Number: number}
		t.Zones = []bronzerill.Zone{{Name: c.Args().First(), Out: out}}
		return submit(ctx, c, cl, t)
	}
}

// ticketNumber returns the requested number. If requested is 0, it returns the next unused
// number.
func ticketNumber(ctx context.Context, cl *client, requested uint64) (uint64, error) {
	if requested > 0 {
		return requested, nil
	}
	var outcomes []bronzerill.Outcome
	if err := cl.call(ctx, http.MethodGet, "/v1/tickets", nil, &outcomes); err != nil {
		return 0, err
	}
	highest := uint64(0)
	for _, o := range outcomes {
		highest = max(highest, o.Number)
	}
	return highest + 1, nil
}
