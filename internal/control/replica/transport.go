package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"bronzerill/internal/wire/netrpc"
)

// Service is the net/rpc name of the replica service.
const Service = "Replica"

// Bounds of the connections between replicas.
const (
	peerQueueSize    = 4096
	maxBatchMessages = 128
	// maxBatchBytes is the size of a batch from which on it takes no further message. What has arrived of a
	// batch that times out is lost.
	maxBatchBytes  = 128 << 10
	deliverTimeout = 400 * time.Millisecond
	// lossyTransferRate is the lowest rate in bytes per second over a link that loses packets, and maxLossTime the
	// longest time that such a link gets beyond the others.
	lossyTransferRate = 256 << 10
	maxLossTime       = 600 * time.Millisecond
)

// Batch carries messages to one replica, in order.
type Batch struct{ Messages []Message }

// timeout returns the time limit of the delivery. Data extends it by an amount that depends
// on its size.
func (b *Batch) timeout() time.Duration {
	size := b.bytes()
	lost := min(time.Duration(size)*time.Second/lossyTransferRate, maxLossTime)
	return deliverTimeout + max(lost, deliveryTime(size))
}

// bytes returns the size of the data of the messages.
func (b *Batch) bytes() int {
	size := 0
	for i := range b.Messages {
		size += b.Messages[i].bytes()
	}
	return size
}

// Ack is the empty reply to a Batch.
type Ack struct{}

// RPC is the net/rpc service of a Node.
type RPC struct{ node *Node }

// NewRPC returns the net/rpc service of a node.
func NewRPC(n *Node) *RPC { return &RPC{node: n} }

// Deliver passes the messages to the node.
func (r *RPC) Deliver(b *Batch, _ *Ack) error {
	for _, m := range b.Messages {
		r.node.Deliver(m)
	}
	return nil
}

// RPCTransport is a Transport over net/rpc, with one queue and one sender
// goroutine for each address.
type RPCTransport struct {
	secret netrpc.Secret
	log    hclog.Logger
	ctx    context.Context
	group  *errgroup.Group
	mu     sync.Mutex
	queues map[string]chan Message
}

var _ Transport = (*RPCTransport)(nil)

// NewRPCTransport returns a transport whose sender goroutines run in the group
// until ctx ends.
func NewRPCTransport(ctx context.Context, group *errgroup.Group, secret netrpc.Secret, log hclog.Logger) *RPCTransport {
	return &RPCTransport{secret: secret, log: log, ctx: ctx, group: group, queues: make(map[string]chan Message)}
}

// Send queues a message. A full queue drops it.
func (t *RPCTransport) Send(m Message, addr string) {
	select {
	case t.queue(addr) <- m:
	default:
		t.log.Debug("message dropped: send queue is full", "to", m.To, "type", m.Type.String())
	}
}

func (t *RPCTransport) queue(addr string) chan Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[addr]
	if !ok {
		queue = make(chan Message, peerQueueSize)
		t.queues[addr] = queue
		t.group.Go(func() error { t.runSender(addr, queue); return nil })
	}
	return queue
}

func (t *RPCTransport) runSender(addr string, queue chan Message) {
	client := netrpc.NewClient(addr, t.secret)
	defer client.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-queue:
			t.deliver(client, newBatch(m, queue))
		}
	}
}

// newBatch returns a batch of the first message and those that wait in the queue, within the bounds.
func newBatch(first Message, queue chan Message) *Batch {
	b := &Batch{Messages: []Message{first}}
	for len(b.Messages) < maxBatchMessages && b.bytes() < maxBatchBytes && len(queue) > 0 {
		b.Messages = append(b.Messages, <-queue)
	}
	return b
}

func (t *RPCTransport) deliver(client *netrpc.Client, b *Batch) {
	ctx, cancel := context.WithTimeout(t.ctx, b.timeout())
	defer cancel()
	if err := client.Call(ctx, Service+".Deliver", b, &Ack{}); err != nil {
		t.log.Debug("messages not delivered", "count", len(b.Messages), "error", err.Error())
	}
}
