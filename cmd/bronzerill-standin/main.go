// Command bronzerill-standin is a small model engine or booking server for
// trials and tests.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bronzerill/internal/standin/booking"
	"bronzerill/internal/standin/engine"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzerill-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := &cli.Command{
		Name:     "bronzerill-standin",
		Usage:    "stand in for a backend server",
		Commands: []*cli.Command{engineCommand(), bookingCommand()},
	}
	return app.Run(ctx, os.Args)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "IP number and port", Required: true}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve chat completions",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "requests a warm engine bears"},
			&cli.IntFlag{Name: "cold-slots", Value: 4, Usage: "requests a cold engine bears"},
			&cli.IntFlag{Name: "warm-after", Value: 2, Usage: "answers that add one slot to a cold engine"},
			&cli.DurationFlag{Name: "fall-over-after", Usage: "how long an engine stands more than it bears"},
			&cli.IntFlag{Name: "tokens", Value: 20, Usage: "tokens of an answer"},
			&cli.IntFlag{Name: "cache-entries", Value: 1024, Usage: "chats the prefix cache holds"},
			&cli.DurationFlag{Name: "first-token", Value: 50 * time.Millisecond, Usage: "time to the first token, cold"},
			&cli.DurationFlag{Name: "cached-token", Value: 10 * time.Millisecond, Usage: "time to the first token, warm"},
			&cli.DurationFlag{Name: "token-interval", Value: 10 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "restart-delay", Value: time.Second, Usage: "time a crashed engine takes to return"},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "age of load reports"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old number"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	e, listener, err := engine.New(engine.Config{
		Listen:        c.String("listen"),
		Slots:         c.Int("slots"),
		ColdSlots:     c.Int("cold-slots"),
		WarmAfter:     c.Int("warm-after"),
		FallOverAfter: c.Duration("fall-over-after"),
		Tokens:        c.Int("tokens"),
		CacheEntries:  c.Int("cache-entries"),
		FirstToken:    c.Duration("first-token"),
		CachedToken:   c.Duration("cached-token"),
		TokenInterval: c.Duration("token-interval"),
		RestartDelay:  c.Duration("restart-delay"),
		LoadLag:       c.Duration("load-lag"),
		ChecksFencing: c.Bool("checks-fencing"),
	})
	if err != nil {
		return err
	}
	return e.Run(ctx, listener)
}

func bookingCommand() *cli.Command {
	return &cli.Command{
		Name:   "booking",
		Usage:  "serve bookings",
		Flags:  []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "late", Value: time.Second, Usage: "delay of late answers"}},
		Action: runBooking,
	}
}

func runBooking(ctx context.Context, c *cli.Command) error {
	server := &http.Server{
		Addr:              c.String("listen"),
		Handler:           booking.NewServer(c.Duration("late")).Handler(),
		ReadHeaderTimeout: time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
