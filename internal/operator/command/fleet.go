package command

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill"
	"bronzerill/internal/control/holder"
	"bronzerill/internal/control/operator"
	"bronzerill/internal/control/state"
)

// repairTimeout limits the wait until a replacement has caught up.
const repairTimeout = 2 * time.Minute

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "print the service report: capacity available for promises, and promises at risk",
		Flags: operatorFlags(
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.Uint64Flag{Name: "number", Usage: "report `NUMBER`; the default is the latest report"},
		),
		Action: printReport,
	}
}

func printReport(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	path := "/v1/report"
	if number := c.Uint64("number"); number > 0 {
		path = fmt.Sprintf("%s?number=%d", path, number)
	}
	var report bronzerill.Report
	if err := cl.call(ctx, http.MethodGet, path, nil, &report); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c, report)
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "report %d at revision %d, %s\n", report.Number, report.Revision, report.MadeAt.Format(time.RFC3339))
	_, _ = fmt.Fprintln(table, "POOL\tSERVERS\tUSABLE\tDEPENDABLE\tPROMISED\tMAY BE PROMISED\tAT RISK\tRUNNING")
	for _, p := range report.Pools {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Servers, p.Usable, p.Dependable, p.Promised, p.Free, p.AtRisk, p.Running)
	}
	return table.Flush()
}

func promiseCommand() *cli.Command {
	return &cli.Command{
		Name:  "promise",
		Usage: "record a promise of capacity, or withdraw it with 0 slots",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "id", Required: true, Usage: "`ID` of the promise"},
			&cli.StringFlag{Name: "pool", Required: true, Usage: "serving `POOL`"},
			&cli.IntFlag{Name: "slots", Required: true, Usage: "promised `SLOTS`"},
			&cli.DurationFlag{Name: "for", Value: 24 * time.Hour, Usage: "duration of the promise"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			p := state.Promise{ID: c.String("id"), Pool: c.String("pool"), Slots: c.Int("slots"), Until: time.Now().Add(c.Duration("for"))}
			return cl.call(ctx, http.MethodPost, "/v1/promises", p, &operator.Reply{})
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of the fleet as seen by each control replica",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			return printStatus(ctx, c, cl)
		},
	}
}

// replicaStatus is the status of one replica, or the error of the call.
type replicaStatus struct {
	Operator string           `json:"operator"`
	Overview *holder.Overview `json:"overview,omitempty"`
	Error    string           `json:"error,omitempty"`
}

func printStatus(ctx context.Context, c *cli.Command, cl *client) error {
	var statuses []replicaStatus
	for _, addr := range cl.addrs {
		status := replicaStatus{Operator: addr, Overview: &holder.Overview{}}
		if err := cl.callReplica(ctx, addr, http.MethodGet, "/v1/status", nil, status.Overview); err != nil {
			status.Overview = nil
			status.Error = err.Error()
		}
		statuses = append(statuses, status)
	}
	return printJSON(c, statuses)
}

func repairCommand() *cli.Command {
	return &cli.Command{
		Name:  "repair",
		Usage: "replace a lost control replica and wait until the replacement has caught up",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "lost", Required: true, Usage: "`NAME` of the lost replica"},
			&cli.StringFlag{Name: "replacement", Required: true, Usage: "`NAME` of the replacement, as printed by init --join"},
			&cli.StringFlag{Name: "addr", Required: true, Usage: "`ADDRESS` of the replacement's control.listen"},
		),
		Action: runRepair,
	}
}

func runRepair(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	request := operator.RepairRequest{Lost: c.String("lost"), Replacement: c.String("replacement"), Addr: c.String("addr")}
	if err := cl.call(ctx, http.MethodPost, "/v1/repair", request, &operator.Reply{}); err != nil {
		return err
	}
	done, err := poll(ctx, repairTimeout, func(ctx context.Context) (bool, error) { return isRepaired(ctx, cl, request), nil })
	if err != nil {
		return err
	}
	if !done {
		return errors.Errorf("%s has not caught up after %s; the repair continues, see status", request.Replacement, repairTimeout)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s has replaced %s\n", request.Replacement, request.Lost)
	return err
}

// isRepaired reports whether the replacement is a voter and the lost replica is no longer
// a member. It queries the replicas in turn until it finds the leader, because only the
// leader's status is reliable.
func isRepaired(ctx context.Context, cl *client, request operator.RepairRequest) bool {
	for _, addr := range cl.addrs {
		var overview holder.Overview
		if cl.callReplica(ctx, addr, http.MethodGet, "/v1/status", nil, &overview) != nil || !overview.Replica.Lease {
			continue
		}
		_, lostPresent := overview.Replica.Members.Get(request.Lost)
		return overview.Replica.Members.IsVoter(request.Replacement) && !lostPresent
	}
	return false
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list and release requests that are suspected of crashing backend servers",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list suspects and quarantined requests", Flags: operatorFlags(), Action: listSuspects},
			{Name: "release", Usage: "release a request from quarantine", ArgsUsage: "FINGERPRINT", Flags: operatorFlags(), Action: releaseSuspect},
		},
	}
}

func listSuspects(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var suspects []bronzerill.Suspect
	if err := cl.call(ctx, http.MethodGet, "/v1/quarantine", nil, &suspects); err != nil {
		return err
	}
	return printJSON(c, suspects)
}

func releaseSuspect(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	return cl.call(ctx, http.MethodDelete, "/v1/quarantine/"+c.Args().First(), nil, &operator.Reply{})
}
