package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill/internal/operator/command"
	"bronzerill/internal/standin/engine"
	trial "bronzerill/internal/trial/caller"
)

func executionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "executions",
		Usage: "print how often a booking ran, as the booking servers counted it",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Required: true, Usage: "HTTP `ADDRESS` of a stand-in booking server, repeated"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "idempotency `KEY`"},
			&cli.IntFlag{Name: "want", Value: 1},
		},
		Action: runExecutions,
	}
}

// totalExecutions returns the runs of each idempotency key, summed over the booking
// servers.
func totalExecutions(ctx context.Context, servers []string) (map[string]int, error) {
	total := make(map[string]int)
	for _, server := range servers {
		var counts map[string]int
		if err := trial.Fetch(ctx, server+"/executions", &counts); err != nil {
			return nil, err
		}
		for key, n := range counts {
			total[key] += n
		}
	}
	return total, nil
}

func runExecutions(ctx context.Context, c *cli.Command) error {
	total, err := totalExecutions(ctx, c.StringSlice("server"))
	if err != nil {
		return err
	}
	runs := total[c.String("key")]
	fmt.Printf("%s ran %d times\n", c.String("key"), runs)
	if runs != c.Int("want") {
		return errors.Errorf("want %d", c.Int("want"))
	}
	return nil
}

func bookingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "bookings",
		Usage: "send bookings for a while and compare the responses with the booking servers' counts",
		Flags: callerFlags(
			&cli.StringFlag{Name: "policy", Required: true},
			&cli.StringSliceFlag{Name: "server", Required: true, Usage: "HTTP `ADDRESS` of a stand-in booking server, repeated"},
			&cli.StringFlag{Name: "prefix", Value: "landau"},
			&cli.IntFlag{Name: "callers", Value: 8},
			&cli.IntFlag{Name: "resends", Value: 6},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "pause", Value: 20 * time.Millisecond},
		),
		Action: runBookings,
	}
}

func runBookings(ctx context.Context, c *cli.Command) error {
	b := trial.Bookings{
		Policy:      c.String("policy"),
		Prefix:      c.String("prefix"),
		Callers:     c.Int("callers"),
		Duration:    c.Duration("duration"),
		MaxAttempts: c.Int("resends"),
		Pause:       c.Duration("pause"),
	}
	for _, entry := range c.StringSlice("entry") {
		b.Clients = append(b.Clients, trial.NewClient(entry, c.String("key")))
	}
	responses, err := b.Run(ctx)
	if err != nil {
		return err
	}
	executions, err := totalExecutions(ctx, c.StringSlice("server"))
	if err != nil {
		return err
	}
	audit := trial.AuditBookings(responses, executions)
	fmt.Printf("bookings %d: answered %d, unknown %d, not run %d; executions %d, replays %d\n",
		audit.Keys, audit.Answered, audit.Unknown, audit.NotRun, audit.Executions, audit.Replayed)
	if len(audit.Violations) > 0 {
		return errors.Errorf("violated guarantees:\n%s", strings.Join(audit.Violations, "\n"))
	}
	if audit.Answered == 0 {
		return errors.New("no booking was answered")
	}
	return nil
}

func enginesCommand() *cli.Command {
	return &cli.Command{
		Name:  "engines",
		Usage: "print the counts of the stand-in engines",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Required: true, Usage: "HTTP `ADDRESS` of a stand-in engine, repeated"},
			&cli.IntFlag{Name: "most-crashes", Value: -1, Usage: "fail if there were more crashes than this in total"},
			&cli.IntFlag{Name: "least-crashes", Value: 0, Usage: "fail if there were fewer crashes than this in total"},
		},
		Action: runEngines,
	}
}

func runEngines(ctx context.Context, c *cli.Command) error {
	crashes := 0
	for _, server := range c.StringSlice("server") {
		var stats engine.Stats
		if err := trial.Fetch(ctx, server+"/stats", &stats); err != nil {
			return err
		}
		crashes += stats.Crashes
		fmt.Printf("%s generation %d, crashes %d, peak load %d, answered %d\n", server, stats.Generation, stats.Crashes, stats.Peak, stats.Answered)
	}
	if most := c.Int("most-crashes"); most >= 0 && crashes > most {
		return errors.Errorf("%d crashes, want at most %d", crashes, most)
	}
	if crashes < c.Int("least-crashes") {
		return errors.Errorf("%d crashes, want at least %d", crashes, c.Int("least-crashes"))
	}
	return nil
}

func garbageCommand() *cli.Command {
	return &cli.Command{
		Name:  "garbage",
		Usage: "send malformed input to ports",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: "addr", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, addr := range c.StringSlice("addr") {
				if err := sendGarbage(addr); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// sendGarbage sends inputs that would crash a careless parser.
func sendGarbage(addr string) error {
	inputs := []string{
		"\x00\xff\xfe garbage \r\n\r\n",
		strings.Repeat("A", 1<<20),
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n{",
		"POST /v1/exchange HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n\xff\xff\xff\xff",
		"GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 100_000) + "\r\n",
	}
	for _, input := range inputs {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return errors.Wrapf(err, "connect to %s", addr)
		}
		_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
		// The server may close the connection at any byte.
		_, _ = conn.Write([]byte(input))
		_, _ = conn.Read(make([]byte, 512))
		_ = conn.Close()
	}
	return nil
}

func faultCommand() *cli.Command {
	return &cli.Command{
		Name:  "fault",
		Usage: "trigger a fault in a stand-in engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Required: true},
			&cli.StringFlag{Name: "name", Required: true, Usage: "crash or cold"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return trial.Post(ctx, c.String("server")+"/fault/"+c.String("name"))
		},
	}
}

func ticketsCommand() *cli.Command {
	return &cli.Command{
		Name:  "tickets",
		Usage: "submit many ticket files in order, without waiting for each to be in force",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Required: true},
			&cli.StringFlag{Name: "secret-file", Required: true},
			&cli.IntFlag{Name: "from", Required: true},
			&cli.IntFlag{Name: "to", Required: true},
			&cli.StringFlag{Name: "folder", Required: true, Usage: "folder with ticket-N.toml"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			for n := c.Int("from"); n <= c.Int("to"); n++ {
				path := fmt.Sprintf("%s/ticket-%d.toml", c.String("folder"), n)
				if err := command.Submit(ctx, c.StringSlice("operator"), c.String("secret-file"), path); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func counterCommand() *cli.Command {
	return &cli.Command{
		Name:  "counter",
		Usage: "print one metric of a process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Required: true},
			&cli.StringFlag{Name: "secret-file", Required: true},
			&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME`, with dots between levels"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			value, err := command.ReadMetric(ctx, c.String("operator"), c.String("secret-file"), c.String("name"))
			if err != nil {
				return err
			}
			fmt.Printf("%.0f\n", value)
			return nil
		},
	}
}
