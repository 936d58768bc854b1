// Command bronzerill-soak runs routers as separate processes on one machine, injects
// faults from outside, and checks the guarantees from what callers, servers and
// operators observe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() { os.Exit(soak()) }

func soak() int {
	app := &cli.Command{
		Name:  "bronzerill-soak",
		Usage: "run routers under random faults, reproducible by seed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "`FILE` of the router program", Value: "bin/bronzerill"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "duration of fault injection for each seed", Value: 12 * time.Second},
			&cli.IntFlag{Name: "routers", Value: 5},
			&cli.IntFlag{Name: "disks", Value: 3},
			&cli.IntFlag{Name: "zone-losses", Usage: "number of losses of a zone's servers for each seed", Value: 1},
			&cli.BoolFlag{Name: "in-step", Usage: "let callers press without a pause after these losses (known red)"},
			&cli.StringFlag{Name: "keep", Usage: "folder for the logs of failed seeds", Value: "trial/soak"},
		},
		Action: run,
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bronzerill-soak:", err)
		return 1
	}
	return 0
}

func run(ctx context.Context, c *cli.Command) error {
	program, err := filepath.Abs(c.String("program"))
	if err != nil {
		return errors.Wrap(err, "program")
	}
	failed := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		folder := filepath.Join(c.String("keep"), fmt.Sprintf("seed-%d", seed))
		violations, report, err := runSeed(ctx, config{
			program: program, folder: folder, seed: seed,
			routers: c.Int("routers"), disks: c.Int("disks"), faultTime: c.Duration("for"), zoneLosses: c.Int("zone-losses"), inStep: c.Bool("in-step"),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %s\n", seed, report)
		if len(violations) == 0 {
			if err := os.RemoveAll(folder); err != nil {
				return errors.Wrap(err, "remove logs")
			}
			continue
		}
		failed++
		for _, violation := range violations {
			fmt.Println("  VIOLATION:", violation)
		}
		fmt.Printf("  reproduce with: bronzerill-soak --seed %d --for %s --routers %d --disks %d --zone-losses %d; logs in %s\n",
			seed, c.Duration("for"), c.Int("routers"), c.Int("disks"), c.Int("zone-losses"), folder)
	}
	fmt.Printf("%d passed, %d failed\n", c.Int("seeds")-failed, failed)
	if failed > 0 {
		return errors.Errorf("%d seeds violated a guarantee", failed)
	}
	return nil
}
