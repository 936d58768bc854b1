package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/wire/netrpc"
)

// Timing of calls to the control replicas.
const (
	callTimeout = 700 * time.Millisecond
	retryPause  = 50 * time.Millisecond
)

// Reply is the interface of all replies, which embed Failure.
type Reply interface {
	GetFailure() *Failure
	Err() error
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addrs are the addresses of the control replicas, as IP address and port.
	Addrs  []string
	Secret netrpc.Secret
}

// Client calls the leader of the control group. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	mu      sync.Mutex
	current string
	clients map[string]*netrpc.Client
}

// NewClient returns a client that connects on its first call.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, current: cfg.Addrs[0], clients: make(map[string]*netrpc.Client)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// Call calls a method of the leader. It tries the replicas in turn until one
// answers as the leader or ctx ends. Call may repeat the method, so the method must
// be idempotent. Commands are, because they compare attempts or numbers. newReply
// returns an empty reply for each try.
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
			return reply, bronzerill.Errorf(bronzerill.KindNoQuorum, "no control replica answered %s as the leader", method)
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

// selectNext switches from a failed replica to leaderHint, or without a hint to the
// next address in the list.
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
