// Command bronzerill-trial sends chats and bookings to a fleet and checks the
// responses.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill/internal/entry/caller"
	trial "bronzerill/internal/trial/caller"
)

func main() {
	app := &cli.Command{
		Name:  "bronzerill-trial",
		Usage: "test a running fleet",
		Commands: []*cli.Command{
			chatCommand(), bookCommand(), executionsCommand(), counterCommand(), bookingsCommand(), enginesCommand(),
			faultCommand(), ticketsCommand(), latencyCommand(), loadCommand(), garbageCommand(), waitCommand(), hashCommand(),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bronzerill-trial:", err)
		os.Exit(1)
	}
}

// callerFlags returns the flags of commands that send requests, followed by more.
func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "HTTP `ADDRESS` of an entry, repeated"},
		&cli.StringFlag{Name: "key", Required: true, Usage: "the customer's API `KEY`"},
	}, more...)
}

func chatCommand() *cli.Command {
	return &cli.Command{
		Name:  "chat",
		Usage: "send one chat and check that the response is complete",
		Flags: callerFlags(
			&cli.StringFlag{Name: "model", Required: true},
			&cli.StringFlag{Name: "chat", Required: true, Usage: "`ID` of the chat"},
			&cli.StringFlag{Name: "text", Value: "hello"},
			&cli.IntFlag{Name: "tokens", Value: 20},
			&cli.BoolFlag{Name: "expect-warm", Usage: "fail unless the engine found the chat in its cache"},
		),
		Action: runChat,
	}
}

func runChat(ctx context.Context, c *cli.Command) error {
	client := trial.NewClient(c.StringSlice("entry")[0], c.String("key"))
	a, err := client.Chat(ctx, trial.Chat{Model: c.String("model"), Chat: c.String("chat"), Text: c.String("text"), Tokens: c.Int("tokens")})
	if err != nil {
		return err
	}
	fmt.Printf("%s status=%d warm=%t first-token=%s kind=%s\n", a.Result, a.Status, a.Warm, a.FirstToken.Round(time.Millisecond), a.Kind)
	if a.Result != trial.Answered {
		return errors.Errorf("chat not answered: %s", a.Body)
	}
	if c.Bool("expect-warm") && !a.Warm {
		return errors.New("the engine did not find the chat in its cache")
	}
	return nil
}

func bookCommand() *cli.Command {
	return &cli.Command{
		Name:  "book",
		Usage: "send one booking",
		Flags: callerFlags(
			&cli.StringFlag{Name: "policy", Required: true},
			&cli.StringFlag{Name: "booking-key", Required: true, Usage: "idempotency `KEY`"},
			&cli.StringFlag{Name: "body", Value: `{"carriage": "landau"}`},
			&cli.BoolFlag{Name: "expect-replay", Usage: "fail unless the response is replayed from the ledger"},
		),
		Action: runBook,
	}
}

func runBook(ctx context.Context, c *cli.Command) error {
	client := trial.NewClient(c.StringSlice("entry")[0], c.String("key"))
	a, err := client.Book(ctx, c.String("policy"), "/bookings", c.String("booking-key"), c.String("body"))
	if err != nil {
		return err
	}
	fmt.Printf("%s status=%d replayed=%t %s\n", a.Result, a.Status, a.Replayed, a.Body)
	if a.Result != trial.Answered {
		return errors.New("booking not answered")
	}
	if c.Bool("expect-replay") && !a.Replayed {
		return errors.New("the response was not replayed")
	}
	return nil
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send recurring chats for a while and count the results",
		Flags: callerFlags(
			&cli.StringFlag{Name: "model", Required: true},
			&cli.IntFlag{Name: "callers", Value: 16},
			&cli.IntFlag{Name: "chats", Value: 64},
			&cli.IntFlag{Name: "tokens", Value: 20},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "pause", Value: 20 * time.Millisecond},
			&cli.StringSliceFlag{Name: "avoid-unready", Usage: "operator `ADDRESS` of each entry, in order; an entry that isn't ready gets no requests, as behind a load balancer"},
			&cli.BoolFlag{Name: "strict", Usage: "fail if any request is refused, unknown, broken off or wrong"},
		),
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	load := trial.Load{
		Callers:  c.Int("callers"),
		Duration: c.Duration("duration"),
		Model:    c.String("model"),
		Chats:    c.Int("chats"),
		Tokens:   c.Int("tokens"),
		Pause:    c.Duration("pause"),
	}
	operatorAddrs := c.StringSlice("avoid-unready")
	for n, entry := range c.StringSlice("entry") {
		client := trial.NewClient(entry, c.String("key"))
		if n < len(operatorAddrs) {
			client.ReadinessURL = "http://" + operatorAddrs[n] + "/ready"
		}
		load.Clients = append(load.Clients, client)
	}
	tally, err := load.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Println(tally)
	failures := tally.Results[trial.Unknown] + tally.Results[trial.BrokenOff] + tally.Results[trial.Wrong]
	if c.Bool("strict") {
		failures += tally.Results[trial.RefusedNotRun]
	}
	if failures > 0 || tally.Results[trial.Answered] == 0 {
		return errors.Errorf("%d requests failed", failures)
	}
	return nil
}

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until each URL returns status 200",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Required: true},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			for _, url := range c.StringSlice("url") {
				if err := waitFor(ctx, url); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// waitFor polls a URL until it returns status 200 or ctx ends.
func waitFor(ctx context.Context, url string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s did not return status 200 in time", url)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func hashCommand() *cli.Command {
	return &cli.Command{
		Name:      "key-hash",
		Usage:     "print the key-hash of an API key, for a customer's ticket",
		ArgsUsage: "KEY",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Println(caller.KeyHash(c.Args().First()))
			return err
		},
	}
}
