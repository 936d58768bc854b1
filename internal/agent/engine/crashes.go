package engine

import (
	"context"
	"sync"
)

// crashes lets failed requests wait until their engine's crash is known
// everywhere.
type crashes struct {
	mu sync.Mutex
	// settled holds a channel for each generation, closed when it is known.
	settled map[string]chan struct{}
}

func (c *crashes) channel(generation string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled == nil {
		c.settled = make(map[string]chan struct{})
	}
	if c.settled[generation] == nil {
		c.settled[generation] = make(chan struct{})
	}
	return c.settled[generation]
}

// settle releases those who wait for the generation, once.
func (c *crashes) settle(generation string) { close(c.channel(generation)) }

// wait returns when the generation's crash is known or ctx ends.
func (c *crashes) wait(ctx context.Context, generation string) {
	select {
	case <-ctx.Done():
	case <-c.channel(generation):
	}
}
