package measure

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bronzerill"
	"bronzerill/internal/control/holder"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/wire/control"
	"bronzerill/internal/wire/netrpc"
)

// Parameters of the control measurement.
const (
	controlSecret   = "secret-of-this-measurement"
	steadyTime      = 5 * time.Second
	ticketRounds    = 8
	seedCustomers   = 1400
	leaderTimeout   = 15 * time.Second
	holderTimeout   = 30 * time.Second
	ticketBatchSize = 200
)

// bench runs one control replica in this process, with a real disk and real
// connections.
type bench struct {
	ctx     context.Context
	group   *errgroup.Group
	addr    string
	node    *replica.Node
	machine *state.Machine
	service *holder.Service
	tickets uint64
}

// newBench starts a replica in a temporary folder. stop ends it and removes the folder.
func newBench(ctx context.Context) (b *bench, stop func(), err error) {
	folder, err := os.MkdirTemp("", "bronzerill-measure-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "folder")
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	stop = func() {
		cancel()
		_ = group.Wait()
		_ = os.RemoveAll(folder)
	}
	b, err = startBench(ctx, group, folder)
	if err != nil {
		stop()
	}
	return b, stop, err
}

// startBench starts a replica in a folder and waits until it has the leader lease.
func startBench(ctx context.Context, group *errgroup.Group, folder string) (*bench, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	b := &bench{ctx: ctx, group: group, addr: listener.Addr().String(), machine: state.NewMachine()}
	members := replica.Members{List: []replica.Member{{Name: "control-1", Addr: b.addr, Voter: true}}}
	if err := replica.InitStore(folder, "control-1", members); err != nil {
		return nil, err
	}
	store, err := replica.OpenStore(folder)
	if err != nil {
		return nil, err
	}
	log := hclog.NewNullLogger()
	secret := netrpc.Secret(controlSecret)
	b.node, err = replica.NewNode(replica.NodeConfig{
		Store: store, StateMachine: b.machine, Transport: replica.NewRPCTransport(ctx, group, secret, log), Log: log, Clock: time.Now, Addr: b.addr,
	})
	if err != nil {
		return nil, err
	}
	b.service = holder.NewService(holder.ServiceConfig{
		Group: b.node, Machine: b.machine, Clock: time.Now, Log: log, LeaderAddr: func(string) string { return b.addr },
	})
	rpc := netrpc.NewServer(secret, log)
	if err := rpc.Register(control.Service, holder.NewRPC(b.service)); err != nil {
		return nil, err
	}
	group.Go(func() error {
		err := b.node.Run(ctx)
		if closeErr := store.Close(); err == nil {
			err = closeErr
		}
		return err
	})
	group.Go(func() error { return rpc.Serve(ctx, listener) })
	group.Go(func() error { return b.service.Run(ctx) })
	return b, b.await(leaderTimeout, func() bool { return b.node.HasLease(time.Now()) })
}

// await polls until done returns true or the timeout ends.
func (b *bench) await(timeout time.Duration, done func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.Errorf("condition not met within %s", timeout)
}

// submit proposes the next ticket and returns its revision.
func (b *bench) submit(changes bronzerill.Changes) (uint64, error) {
	b.tickets++
	t := bronzerill.Ticket{Number: b.tickets, Changes: changes}
	r, err := b.service.Propose(b.ctx, state.Command{Ticket: &state.TicketCommand{Ticket: t}})
	return r.Revision, err
}

// seed configures a pool and 1,400 customers, the number in the requirements.
func (b *bench) seed() error {
	for from := 0; from < seedCustomers; from += ticketBatchSize {
		var changes bronzerill.Changes
		if from == 0 {
			changes.Pools = []bronzerill.Pool{{Name: "bronze-guides", Kind: bronzerill.PoolEngine, LoadMultiple: 1.5, Slots: 16, FloorSlots: 4, ColdSlots: 2, RampStep: 2}}
		}
		for n := from; n < from+ticketBatchSize; n++ {
			changes.Customers = append(changes.Customers, bronzerill.Customer{
				Name: fmt.Sprintf("customer-%d", n), KeyHash: fmt.Sprintf("%064x", n+1), Weight: 1,
			})
		}
		if _, err := b.submit(changes); err != nil {
			return err
		}
	}
	return nil
}

// startRenewers starts lease holders and spreads their first renewals over one
// interval.
func (b *bench) startRenewers(count int, asAgents bool) []*control.LeaseRenewer {
	var renewers []*control.LeaseRenewer
	for n := range count {
		cfg := control.LeaseRenewerConfig{
			Client:          control.NewClient(control.ClientConfig{Addrs: []string{b.addr}, Secret: netrpc.Secret(controlSecret)}),
			Holder:          fmt.Sprintf("holder-%t-%d", asAgents, n),
			RenewalInterval: control.EntryRenewalInterval,
			Clock:           time.Now,
			Log:             hclog.NewNullLogger(),
			// Only entries receive the table of servers.
			WantServers: func() bool { return !asAgents },
		}
		if asAgents {
			server := servers(n + 1)[n]
			running := 0
			cfg.RenewalInterval = control.AgentRenewalInterval
			cfg.Generation = func() uint64 { return b.machine.Generation(server.Name) }
			cfg.Status = func(time.Time) (control.Server, control.Load) {
				running = (running + 1) % 16
				return server, control.Load{Running: running, Limit: 16}
			}
		}
		renewer := control.NewLeaseRenewer(cfg)
		renewers = append(renewers, renewer)
		delay := time.Duration(n) * cfg.RenewalInterval / time.Duration(count)
		b.group.Go(func() error {
			time.Sleep(delay)
			return renewer.Run(b.ctx)
		})
	}
	return renewers
}

// allHaveRevision reports whether all holders have a lease and at least the revision.
func allHaveRevision(renewers []*control.LeaseRenewer, revision uint64) bool {
	return !slices.ContainsFunc(renewers, func(renewer *control.LeaseRenewer) bool {
		v := renewer.View()
		return v.Config.Revision() < revision || !v.HasLease(time.Now())
	})
}

// Control prints control traffic, CPU time and memory per lease holder, and the time
// until a ticket is in force at all holders.
func Control(ctx context.Context, w *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(w, "\nCONTROL: one replica and its lease holders in one process, 1,400 customers configured")
	_, _ = fmt.Fprintln(w, "holders\trole\tbytes/s each way per holder\tCPU us per renewal, both ends\theap KB per holder, both ends\tticket at all holders p50\tp99")
	for _, asAgents := range []bool{false, true} {
		for _, count := range []int{10, 100, 1300} {
			if err := printControlRow(ctx, w, count, asAgents); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

// printControlRow measures one number of lease holders and prints the results.
func printControlRow(ctx context.Context, w *tabwriter.Writer, count int, asAgents bool) error {
	b, stop, err := newBench(ctx)
	if err != nil {
		return err
	}
	defer stop()
	if err := b.seed(); err != nil {
		return err
	}
	before := heapBytes()
	renewers := b.startRenewers(count, asAgents)
	if err := b.await(holderTimeout, func() bool { return allHaveRevision(renewers, b.machine.Config().Revision()) }); err != nil {
		return err
	}
	perHolder := float64(heapBytes()-before) / float64(count) / 1024
	bytes, cpu := measureSteadyState(count, asAgents)
	p50, p99, err := b.ticketTimes(renewers)
	if err != nil {
		return err
	}
	role := "entry"
	if asAgents {
		role = "agent"
	}
	_, _ = fmt.Fprintf(w, "%d\t%s\t%.0f\t%.0f\t%.0f\t%s\t%s\n", count, role, bytes, cpu, perHolder, p50.Round(time.Millisecond), p99.Round(time.Millisecond))
	return nil
}

// measureSteadyState measures traffic and CPU time while the configuration does not
// change.
func measureSteadyState(count int, asAgents bool) (bytesPerSecond, microsPerRenewal float64) {
	_, written := netrpc.ByteCounts()
	cpu := cpuTime()
	time.Sleep(steadyTime)
	_, after := netrpc.ByteCounts()
	used := cpuTime() - cpu
	renewal := control.EntryRenewalInterval
	if asAgents {
		renewal = control.AgentRenewalInterval
	}
	renewals := float64(count) * steadyTime.Seconds() / renewal.Seconds()
	// Both ends run in this process, so half of the written bytes go each way.
	bytesPerSecond = float64(after-written) / 2 / steadyTime.Seconds() / float64(count)
	return bytesPerSecond, float64(used.Microseconds()) / renewals
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ticketTimes measures how long a ticket takes to reach all holders. With so few
// rounds, p99 is the maximum.
func (b *bench) ticketTimes(renewers []*control.LeaseRenewer) (p50, p99 time.Duration, err error) {
	var times []time.Duration
	for n := range ticketRounds {
		started := time.Now()
		revision, err := b.submit(bronzerill.Changes{Zones: []bronzerill.Zone{{Name: "canela", Out: n%2 == 0}}})
		if err != nil {
			return 0, 0, err
		}
		if err := b.await(holderTimeout, func() bool { return allHaveRevision(renewers, revision) }); err != nil {
			return 0, 0, err
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1], nil
}

// Ledger prints what the replicated log costs: bookings per second, and memory and
// snapshot size per booking.
func Ledger(ctx context.Context, w *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(w, "\nLEDGER: one replica on this disk; a booking is one claim and one outcome")
	_, _ = fmt.Fprintln(w, "callers\tbookings/s\tus per command\theap bytes per stored booking\tsnapshot bytes per booking\tms that a snapshot blocks the log")
	for _, callers := range []int{1, 64, 512} {
		if err := printLedgerRow(ctx, w, callers); err != nil {
			return err
		}
	}
	return w.Flush()
}

const ledgerTime = 4 * time.Second

// printLedgerRow measures one number of callers and prints the results.
func printLedgerRow(ctx context.Context, w *tabwriter.Writer, callers int) error {
	b, stop, err := newBench(ctx)
	if err != nil {
		return err
	}
	defer stop()
	before := heapBytes()
	booked, err := b.book(callers)
	if err != nil {
		return err
	}
	used := float64(heapBytes()) - float64(before)
	started := time.Now()
	encode := b.machine.Snapshot()
	took := time.Since(started)
	snapshot, err := encode()
	if err != nil {
		return err
	}
	runtime.KeepAlive(b)
	rate := float64(booked) / ledgerTime.Seconds()
	_, _ = fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\n", callers, rate, 1e6/(2*rate), used/float64(booked), float64(len(snapshot))/float64(booked), float64(took.Microseconds())/1000)
	return nil
}

// book sends claims and outcomes from concurrent callers for ledgerTime and returns the
// number of bookings.
func (b *bench) book(callers int) (int, error) {
	counts := make([]int, callers)
	var group errgroup.Group
	end := time.Now().Add(ledgerTime)
	for n := range callers {
		group.Go(func() error {
			for time.Now().Before(end) {
				key := state.Key{Customer: "hotel-serra", Pool: "stable-desk", Value: fmt.Sprintf("%d-%d", n, counts[n])}
				attempt := state.Attempt{Agent: "server-1", ID: key.Value}
				if _, err := b.service.Propose(b.ctx, state.Command{Claim: &state.Claim{Key: key, BodyHash: "h", Attempt: attempt}}); err != nil {
					return err
				}
				reply := state.Reply{Status: 201, ContentType: "application/json", Body: []byte(`{"booked": "landau", "run": 1}`)}
				if _, err := b.service.Propose(b.ctx, state.Command{Finish: &state.Finish{Key: key, Attempt: attempt, Reply: reply}}); err != nil {
					return err
				}
				counts[n]++
			}
			return nil
		})
	}
	err := group.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, err
}
