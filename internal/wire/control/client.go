package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/netrpc"
)

// Timing of calls.
const (
	callTimeout = 700 * time.Millisecond
	retryPause  = 50 * time.Millisecond
)

// Reply is implemented by every reply through Failure.
type Reply interface {
	GetFailure() *Failure
	Err() error
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addrs are the control replicas, by IP number and port.
	Addrs  []string
	Secret netrpc.Secret
}

// Client calls the leader of the control group.
type Client struct {
	cfg     ClientConfig
	mu      sync.Mutex
	current string
	clients map[string]*netrpc.Client
}

// NewClient returns a client that connects at its first call.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, current: cfg.Addrs[0], clients: make(map[string]*netrpc.Client)}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// Call asks the leader, trying the other replicas until ctx ends. The method
// must be safe to repeat: every command compares attempts or numbers. newReply
// makes an empty reply for each callCtx.
func Call[R Reply](ctx context.Context, c *Client, method string, args any, newReply func() R) (R, error) {
	for {
		addr, client := c.currentClient()
		reply := newReply()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := client.Call(callCtx, Service+"."+method, args, reply)
		cancel()
		if err == nil && reply.GetFailure().Kind != bronzerill.KindNotLeader {
			return reply, reply.Err()
		}
		c.selectNext(addr, reply.GetFailure().Leader)
		select {
		case <-ctx.Done():
			return reply, bronzerill.Errorf(bronzerill.KindNoQuorum, "no control replica answered %s as leader", method)
		case <-time.After(retryPause):
		}
	}
}

func (c *Client) currentClient() (string, *netrpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[c.current]
	if client == nil {
		client = netrpc.NewClient(c.current, c.cfg.Secret)
		c.clients[c.current] = client
	}
	return c.current, client
}

// selectNext follows the leaderHint, or takes the next address of the list.
func (c *Client) selectNext(from, leaderHint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	if leaderHint != "" && leaderHint != from {
		c.current = leaderHint
		return
	}
	next := slices.Index(c.cfg.Addrs, from) + 1
	c.current = c.cfg.Addrs[next%len(c.cfg.Addrs)]
}
