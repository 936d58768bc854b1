package peer

import (
	"context"
	"sync"
	"time"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/router/declared"
	"bronzerill/internal/router/placement"
	"bronzerill/internal/wire/netrpc"
)

// ServiceName is the net/rpc service name of calls between routers.
const ServiceName = "Neighbour"

// StateRequest asks for the declared state if its revision is greater than Above.
type StateRequest struct{ Above uint64 }

// StateReply carries the declared state if Newer is set.
type StateReply struct {
	Newer bool
	State PackedState
	// Versions are the noted versions that the peer knows.
	Versions []state.ServiceVersion
}

// ListRequest asks for the list of servers.
type ListRequest struct{}

// ListReply carries the list of servers and its age. The age is negative if there is
// no list.
type ListReply struct {
	Age     time.Duration
	Servers []placement.Server
}

// ZoneRevision identifies the last order for a zone that a leader accepted. It is zero if the
// leader is of a build that doesn't count orders.
type ZoneRevision struct {
	Term uint64
	// Accepted is the number of orders that the leader has accepted in the term.
	Accepted uint64
}

// ProposeRequest asks the leader to replicate a command.
type ProposeRequest struct {
	Command []byte
	// Base is the revision on which an order for a zone is based. A call may arrive after its
	// sender has given up and a newer order was accepted, so the leader rejects an order whose
	// base isn't the current revision. Other commands have none.
	Base ZoneRevision
}

// ProposeReply carries the outcome. It has the kind of an error in a field of its own,
// since net/rpc transports errors only as texts.
type ProposeReply struct {
	Kind   bronzerill.Kind
	Detail string
	// Revision is the revision of the declared state after the command.
	Revision uint64
}

// ReadRequest asks the leader for a linearizable read of the declared state. The
// reply omits a state whose revision is not greater than Above.
type ReadRequest struct {
	Above uint64
	// Zone asks for the revision of a zone too, unless it is empty.
	Zone string
}

// ReadReply carries the revision of the declared state, and the state if it is newer.
type ReadReply struct {
	Kind     bronzerill.Kind
	Detail   string
	Revision uint64
	State    PackedState
	// ZoneRevision is the revision of the requested zone.
	ZoneRevision ZoneRevision
}

// JoinRequest asks the leader to add a replica to the control group.
type JoinRequest struct {
	Name, Addr string
	// Spare is set by a replica that did not take part in the bootstrap.
	Spare bool
}

// JoinReply is empty if the leader accepted the request.
type JoinReply struct {
	Kind   bronzerill.Kind
	Detail string
}

// LeaveRequest tells the leader that a replica is about to stop, for a time or for good. It is repeated
// until the replica stops.
type LeaveRequest struct{ Name string }

// LeaveReply is empty if the leader has taken note.
type LeaveReply struct {
	Kind   bronzerill.Kind
	Detail string
}

// DiskRequest asks what the disk of the router's replica holds.
type DiskRequest struct{}

// DiskReply says what the disk holds. The folder is empty if no replica runs.
type DiskReply struct {
	// Folder is the ID of the data folder.
	Folder string
	// Tail is where the log on the disk ends.
	Tail replica.Tail
}

// DirectoryRequest asks for the prefix directory.
type DirectoryRequest struct{}

// DirectoryReply carries the prefix directory as far as the router knows it.
type DirectoryReply struct{ Directory placement.DirectorySnapshot }

// StreamRequest asks at which version a stream began.
type StreamRequest struct{ Stream StreamKey }

// StreamReply carries the version at which a stream began. It is 0 if unknown.
type StreamReply struct{ Version placement.VersionKey }

// VersionsRequest asks the leader for a linearizable read of the noted versions.
type VersionsRequest struct{}

// VersionsReply carries the noted versions.
type VersionsReply struct {
	Kind     bronzerill.Kind
	Detail   string
	Versions []state.NotedVersion
}

// BootstrapRequest asks a router for the founders of the control group. The sender is ready to be one of them.
type BootstrapRequest struct {
	Name, Addr string
	// Folder is the ID that the sender's data folder will have.
	Folder string
}

// BootstrapState is what a router knows of the founders.
type BootstrapState uint8

// The values of BootstrapState.
const (
	// BootstrapUnknown means that the router doesn't know yet.
	BootstrapUnknown BootstrapState = iota
	// BootstrapFounded means that the founders are chosen.
	BootstrapFounded
	// BootstrapCandidate means that the router knows of no founders and is ready to be one of them.
	BootstrapCandidate
	// BootstrapBlank means that the router knows of no founders and never will be one.
	BootstrapBlank
)

// BootstrapReply says what a router knows of the founders.
type BootstrapReply struct {
	// Granted isn't used any more.
	Granted bool
	State   BootstrapState
	// Founders is set in the state BootstrapFounded.
	Founders replica.Members
}

// Handler answers the calls of peers.
type Handler interface {
	State(above uint64) (declared.State, bool)
	List(now time.Time) (servers []placement.Server, age time.Duration, ok bool)
	Propose(ctx context.Context, command []byte, base ZoneRevision) (revision uint64, err error)
	Read(ctx context.Context) (declared.State, error)
	ZoneRevision(ctx context.Context, zone string) (ZoneRevision, error)
	Join(ctx context.Context, r JoinRequest) error
	Leave(name string) error
	Disk() (folder string, tail replica.Tail)
	Bootstrap(r BootstrapRequest) BootstrapReply
	Directory(now time.Time) placement.DirectorySnapshot
	StreamVersion(stream StreamKey) (placement.VersionKey, bool)
	Versions(ctx context.Context) ([]state.NotedVersion, error)
	KnownVersions(now time.Time) []state.ServiceVersion
}

// RPC serves a Handler over net/rpc, which calls its methods by name.
type RPC struct {
	handler Handler
	clock   func() time.Time
	packer  Packer
}

// NewRPC returns the net/rpc service of a handler.
func NewRPC(handler Handler, clock func() time.Time) *RPC {
	return &RPC{handler: handler, clock: clock}
}

// CallTimeout is the timeout of one call between routers. It is below 1 s, after which
// an operator's client gives up on a router.
const CallTimeout = 800 * time.Millisecond

// State replies with the declared state if it is newer than the requested revision.
func (r *RPC) State(in *StateRequest, out *StateReply) error {
	out.Versions = r.handler.KnownVersions(r.clock())
	state, newer := r.handler.State(in.Above)
	if !newer {
		return nil
	}
	var err error
	out.Newer = true
	out.State, err = r.packer.Pack(state)
	return err
}

// List replies with the list of servers.
func (r *RPC) List(_ *ListRequest, out *ListReply) error {
	servers, age, ok := r.handler.List(r.clock())
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
	out.Revision, err = r.handler.Propose(ctx, in.Command, in.Base)
	out.Kind, out.Detail = encodeError(err)
	return nil
}

// Read replies with the newest declared state.
func (r *RPC) Read(in *ReadRequest, out *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	state, err := r.handler.Read(ctx)
	if err == nil && in.Zone != "" {
		out.ZoneRevision, err = r.handler.ZoneRevision(ctx, in.Zone)
	}
	out.Kind, out.Detail = encodeError(err)
	out.Revision = state.Revision
	if err == nil && state.Revision > in.Above {
		out.State, err = r.packer.Pack(state)
		return err
	}
	return nil
}

// Join adds a replica to the control group.
func (r *RPC) Join(in *JoinRequest, out *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	out.Kind, out.Detail = encodeError(r.handler.Join(ctx, *in))
	return nil
}

// Leave notes that a replica is about to stop.
func (r *RPC) Leave(in *LeaveRequest, out *LeaveReply) error {
	out.Kind, out.Detail = encodeError(r.handler.Leave(in.Name))
	return nil
}

// Disk replies with what the disk holds.
func (r *RPC) Disk(_ *DiskRequest, out *DiskReply) error {
	out.Folder, out.Tail = r.handler.Disk()
	return nil
}

// Directory replies with the prefix directory.
func (r *RPC) Directory(_ *DirectoryRequest, out *DirectoryReply) error {
	out.Directory = r.handler.Directory(r.clock())
	return nil
}

// Stream replies with the version at which a stream began.
func (r *RPC) Stream(in *StreamRequest, out *StreamReply) error {
	out.Version, _ = r.handler.StreamVersion(in.Stream)
	return nil
}

// Versions replies with the noted versions.
func (r *RPC) Versions(_ *VersionsRequest, out *VersionsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	var err error
	out.Versions, err = r.handler.Versions(ctx)
	out.Kind, out.Detail = encodeError(err)
	return nil
}

// Found replies with the founders of the control group. Its name is fixed, since peers call it by name.
func (r *RPC) Found(in *BootstrapRequest, out *BootstrapReply) error {
	*out = r.handler.Bootstrap(*in)
	return nil
}

func encodeError(err error) (bronzerill.Kind, string) {
	if err == nil {
		return bronzerill.KindNone, ""
	}
	return bronzerill.KindOf(err), err.Error()
}

// Err returns the error that a reply carries, or nil.
func Err(kind bronzerill.Kind, detail string) error {
	if kind == bronzerill.KindNone {
		return nil
	}
	return bronzerill.Errorf(kind, "%s", detail)
}

// Clients holds one net/rpc client for each router address. It is safe for concurrent
// use.
type Clients struct {
	secret  netrpc.Secret
	mu      sync.Mutex
	clients map[string]*netrpc.Client
}

// NewClients returns Clients without open connections.
func NewClients(secret netrpc.Secret) *Clients {
	return &Clients{secret: secret, clients: make(map[string]*netrpc.Client)}
}

// Call calls a method of the router at an address.
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

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
