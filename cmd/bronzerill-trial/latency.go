package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	trial "bronzerill/internal/trial/caller"
)

func latencyCommand() *cli.Command {
	return &cli.Command{
		Name:  "latency",
		Usage: "compare the path through entry and agent with the direct path to the engine",
		Flags: callerFlags(
			&cli.StringFlag{Name: "engine", Required: true, Usage: "HTTP `ADDRESS` of the engine"},
			&cli.StringFlag{Name: "model", Required: true},
			&cli.IntFlag{Name: "rounds", Value: 300},
			&cli.IntFlag{Name: "tokens", Value: 20},
			&cli.IntFlag{Name: "callers", Value: 64},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second},
		),
		Action: runLatency,
	}
}

// path is one of the two paths to the engine, with its measurements.
type path struct {
	name             string
	client           *trial.Client
	firstToken, gaps []time.Duration
	rate             float64
}

func runLatency(ctx context.Context, c *cli.Command) error {
	paths := []*path{
		{name: "straight", client: trial.NewClient(c.String("engine"), c.String("key"))},
		{name: "entry and agent", client: trial.NewClient(c.StringSlice("entry")[0], c.String("key"))},
	}
	// The paths alternate, so that other work of the machine affects both.
	for n := range c.Int("rounds") {
		for _, p := range paths {
			if err := p.sample(ctx, c, n); err != nil {
				return err
			}
		}
	}
	for _, p := range paths {
		if err := p.measureThroughput(ctx, c); err != nil {
			return err
		}
	}
	return printPaths(paths, c.Int("callers"))
}

// sample sends one chat and records its latencies.
func (p *path) sample(ctx context.Context, c *cli.Command, n int) error {
	a, err := p.client.Chat(ctx, trial.Chat{Model: c.String("model"), Chat: "latency", Text: fmt.Sprint(p.name, n), Tokens: c.Int("tokens")})
	if err != nil {
		return err
	}
	if a.Result != trial.Answered {
		return errors.Errorf("%s: %s %s", p.name, a.Result, a.Body)
	}
	p.firstToken = append(p.firstToken, a.FirstToken)
	p.gaps = append(p.gaps, a.Gaps...)
	return nil
}

// measureThroughput sends chats from concurrent callers and records the rate of
// responses.
func (p *path) measureThroughput(ctx context.Context, c *cli.Command) error {
	counts := make([]int, c.Int("callers"))
	end := time.Now().Add(c.Duration("duration"))
	group, ctx := errgroup.WithContext(ctx)
	for n := range counts {
		group.Go(func() error {
			for time.Now().Before(end) {
				a, err := p.client.Chat(ctx, trial.Chat{Model: c.String("model"), Chat: fmt.Sprint("rate-", n), Text: "x", Tokens: 1})
				if err != nil {
					return err
				}
				if a.Result == trial.Answered {
					counts[n]++
				}
			}
			return nil
		})
	}
	err := group.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	p.rate = float64(total) / c.Duration("duration").Seconds()
	return err
}

// percentile sorts the samples and returns a percentile.
func percentile(samples []time.Duration, percent int) time.Duration {
	slices.Sort(samples)
	return samples[(len(samples)-1)*percent/100].Round(time.Microsecond)
}

func printPaths(paths []*path, callers int) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "path\tfirst token p50\tp99\tbetween tokens p50\tp99\tresponses/s at %d callers\n", callers)
	for _, path := range paths {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f\n", path.name,
			percentile(path.firstToken, 50), percentile(path.firstToken, 99), percentile(path.gaps, 50), percentile(path.gaps, 99), path.rate)
	}
	return w.Flush()
}
