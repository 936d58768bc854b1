// Package ticker calls functions periodically.
package ticker

import (
	"context"
	"time"
)

// Every calls fn immediately and then once per interval, until ctx ends. It
// always returns nil.
func Every(ctx context.Context, interval time.Duration, fn func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
