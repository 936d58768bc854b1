// Command bronzerill-standin runs a stand-in model engine or booking server for trials
// and tests.
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
		Usage:    "run a stand-in backend server",
		Commands: []*cli.Command{engineCommand(), bookingCommand()},
	}
	return app.Run(ctx, os.Args)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "IP address and port", Required: true}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve chat completions",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "concurrent requests that a warm engine handles"},
			&cli.IntFlag{Name: "cold-slots", Value: 4, Usage: "concurrent requests that a cold engine handles"},
			&cli.IntFlag{Name: "warm-after", Value: 2, Usage: "responses that add one slot to a cold engine"},
			&cli.DurationFlag{Name: "fall-over-after", Usage: "how long an engine survives more requests than it handles"},
			&cli.IntFlag{Name: "tokens", Value: 20, Usage: "tokens of a response"},
			&cli.IntFlag{Name: "cache-entries", Value: 1024, Usage: "chats that the prefix cache holds"},
			&cli.DurationFlag{Name: "first-token", Value: 50 * time.Millisecond, Usage: "time to the first token without a cache hit"},
			&cli.DurationFlag{Name: "cached-token", Value: 10 * time.Millisecond, Usage: "time to the first token with a cache hit"},
			&cli.DurationFlag{Name: "token-interval", Value: 10 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "restart-delay", Value: time.Second, Usage: "time until a crashed engine listens again"},
			&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "maximum age of the reported load"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
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
		Flags:  []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "late", Value: time.Second, Usage: "delay of late responses"}},
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
