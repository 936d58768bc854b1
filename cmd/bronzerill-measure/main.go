// Command bronzerill-measure prints the measurements that run in a single process.
package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"bronzerill/internal/trial/measure"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "bronzerill-measure:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if err := measure.Routing(w); err != nil {
		return err
	}
	if err := measure.Control(ctx, w); err != nil {
		return err
	}
	return measure.Ledger(ctx, w)
}
