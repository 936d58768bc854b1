// Package ticker runs a system at each tick.
package ticker

import (
	"context"
	"time"
)

// Every runs a step at once and then at each interval, until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
