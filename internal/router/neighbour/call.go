package neighbour

import (
	"context"
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placing"
	"bronzerill/internal/wire/netrpc"
)

// ServiceName is the name of the calls between routers on net/rpc.
const ServiceName = "Neighbour"

// StateRequest asks for the declared state above a revision.
type StateRequest struct{ Above uint64 }

// StateReply carries the state, if there is a newer one.
type StateReply struct {
	Newer bool
	State PackedState
}

// ListRequest asks for the list of servers.
type ListRequest struct{}

// ListReply carries the list and its age, negative without a list.
type ListReply struct {
	Age     time.Duration
	Servers []placing.Server
}

// ProposeRequest asks the leader to replicate a command.
type ProposeRequest struct{ Command []byte }

// ProposeReply carries the outcome. Errors of the closed list are sent as kinds,
// since net/rpc carries only texts.
type ProposeReply struct {
	Kind   bronzerill.Kind
	Detail string
	// Revision is the revision of the declared state after the command.
	Revision uint64
}

// ReadRequest asks the leader for the newest state above a revision, as of now.
type ReadRequest struct{ Above uint64 }

// ReadReply carries the state if it is newer, else its revision only.
type ReadReply struct {
	Kind     bronzerill.Kind
	Detail   string
	Revision uint64
	State    PackedState
}

// JoinRequest asks the leader to add a replica.
type JoinRequest struct {
	Name, Addr string
	// Spare is set by a replica that wasn't there at the founding.
	Spare bool
}

// JoinReply is empty once the request is on its way.
type JoinReply struct {
	Kind   bronzerill.Kind
	Detail string
}

// DirectoryRequest asks which prompts servers keep.
type DirectoryRequest struct{}

// DirectoryReply carries all that the router knows of it.
type DirectoryReply struct{ Directory placing.DirectorySnapshot }

// BootstrapRequest asks for the right to found the group.
type BootstrapRequest struct{ Name, Addr string }

// BootstrapReply grants it to one replica only.
type BootstrapReply struct{ Granted bool }

// Handler answers the calls of other routers.
type Handler interface {
	State(above uint64) (declared.State, bool)
	List(now time.Time) (servers []placing.Server, age time.Duration, ok bool)
	Propose(ctx context.Context, command []byte) (revision uint64, err error)
	Read(ctx context.Context) (declared.State, error)
	Join(ctx context.Context, r JoinRequest) error
	GrantBootstrap(r BootstrapRequest) bool
	Directory(now time.Time) placing.DirectorySnapshot
}

// RPC is the net/rpc face of a Desk.
type RPC struct {
	desk   Handler
	clock  func() time.Time
	packer Packer
}

// NewRPC returns the face of a desk.
func NewRPC(desk Handler, clock func() time.Time) *RPC { return &RPC{desk: desk, clock: clock} }

// CallTimeout bounds one call between routers, below the second after which an
// operator's client gives a router up.
const CallTimeout = 800 * time.Millisecond

// State returns the declared state if it is newer.
func (r *RPC) State(in *StateRequest, out *StateReply) error {
	state, newer := r.desk.State(in.Above)
	if !newer {
		return nil
	}
	var err error
	out.Newer = true
	out.State, err = r.packer.Pack(state)
	return err
}

// List returns the list of servers.
func (r *RPC) List(_ *ListRequest, out *ListReply) error {
	servers, age, ok := r.desk.List(r.clock())
	out.Servers, out.Age = servers, age
	if !ok {
		out.Age = -1
	}
	return nil
}

// Propose replicates a command.
func (r *RPC) Propose(in *ProposeRequest, out *ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	var err error
	out.Revision, err = r.desk.Propose(ctx, in.Command)
	out.Kind, out.Detail = split(err)
	return nil
}

// Read returns the newest state.
func (r *RPC) Read(in *ReadRequest, out *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	state, err := r.desk.Read(ctx)
	out.Kind, out.Detail = split(err)
	out.Revision = state.Revision
	if err == nil && state.Revision > in.Above {
		out.State, err = r.packer.Pack(state)
		return err
	}
	return nil
}

// Join adds a replica.
func (r *RPC) Join(in *JoinRequest, out *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	out.Kind, out.Detail = split(r.desk.Join(ctx, *in))
	return nil
}

// Directory returns which prompts servers keep.
func (r *RPC) Directory(_ *DirectoryRequest, out *DirectoryReply) error {
	out.Directory = r.desk.Directory(r.clock())
	return nil
}

// Found grants the founding of the group once.
func (r *RPC) Found(in *BootstrapRequest, out *BootstrapReply) error {
	out.Granted = r.desk.GrantBootstrap(*in)
	return nil
}

func split(err error) (bronzerill.Kind, string) {
	if err == nil {
		return bronzerill.KindNone, ""
	}
	return bronzerill.KindOf(err), err.Error()
}

// Err returns a reply's error, or nil.
func Err(kind bronzerill.Kind, detail string) error {
	if kind == bronzerill.KindNone {
		return nil
	}
	return bronzerill.Errorf(kind, "%s", detail)
}

// Clients keeps one client for each router's address.
type Clients struct {
	secret  netrpc.Secret
	mu      sync.Mutex
	clients map[string]*netrpc.Client
}

// NewClients returns clients without connections.
func NewClients(secret netrpc.Secret) *Clients {
	return &Clients{secret: secret, clients: make(map[string]*netrpc.Client)}
}

// Call runs a method at an address.
func (c *Clients) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.mu.Lock()
	client, ok := c.clients[addr]
	if !ok {
		client = netrpc.NewClient(addr, c.secret)
		c.clients[addr] = client
	}
	c.mu.Unlock()
	return client.Call(ctx, ServiceName+"."+method, args, reply)
}

// Close closes every connection.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
