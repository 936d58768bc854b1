package engine

import (
	"context"
	"sync"
)

// crashNotifier lets failed requests wait until the crash of their engine has
// been reported to all agents.
type crashNotifier struct {
	mu sync.Mutex
	// channels holds a channel for each generation. It is closed when the crash
	// has been reported.
	channels map[string]chan struct{}
}

func (c *crashNotifier) channel(generation string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channels == nil {
		c.channels = make(map[string]chan struct{})
	}
	if c.channels[generation] == nil {
		c.channels[generation] = make(chan struct{})
	}
	return c.channels[generation]
}

// notify wakes the requests that wait for the generation. It must be called
// once for each generation.
func (c *crashNotifier) notify(generation string) { close(c.channel(generation)) }

// wait returns when the crash of the generation has been reported or ctx ends.
func (c *crashNotifier) wait(ctx context.Context, generation string) {
	select {
	case <-ctx.Done():
	case <-c.channel(generation):
	}
}
