package replica

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bronzerill"
)

// sumMachine is a StateMachine that adds up the numbers in its commands. It
// counts the commands, which shows one that is applied twice.
type sumMachine struct {
	mu    sync.Mutex
	total uint64
	count uint64
}

func (s *sumMachine) Apply(_ uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += binary.BigEndian.Uint64(command)
	s.count++
	return s.total
}

func (s *sumMachine) Snapshot() func() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.total), s.count)
	return func() ([]byte, error) {
		time.Sleep(30 * time.Millisecond)
		return data, nil
	}
}

func (s *sumMachine) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total = binary.BigEndian.Uint64(data)
	s.count = binary.BigEndian.Uint64(data[8:])
	return nil
}

func (s *sumMachine) get() (total, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.count
}

// failingStore fails a Save once its countdown has run out, before or after the
// write.
type failingStore struct {
	*BoltStore
	savesUntilFailure int
	afterWrite        bool
}

var errDisk = errors.New("disk failed")

func (s *failingStore) Save(r Ready) error {
	s.savesUntilFailure--
	if s.savesUntilFailure > 0 || s.savesUntilFailure < -1 {
		return s.BoltStore.Save(r)
	}
	if s.afterWrite {
		if err := s.BoltStore.Save(r); err != nil {
			return err
		}
	}
	return errDisk
}

// process is a running node with its data folder.
type process struct {
	folder  string
	machine *sumMachine
	node    *Node
	store   *BoltStore
	stop    context.CancelFunc
	group   *errgroup.Group
}

// nodeGroup runs nodes on real files and passes their messages in memory.
type nodeGroup struct {
	t         *testing.T
	mu        sync.Mutex
	processes map[string]*process
	// snapshotEvery is the setting SnapshotEvery, 0 for 40.
	snapshotEvery uint64
	// sent counts the bytes of data that were sent, by receiver.
	sent map[string]int
}

// Send passes a message on. A node that is down loses it.
func (g *nodeGroup) Send(m Message, _ string) {
	g.mu.Lock()
	p := g.processes[m.To]
	if g.sent != nil {
		g.sent[m.To] += m.bytes()
	}
	g.mu.Unlock()
	if p != nil && p.node != nil {
		p.node.Deliver(m)
	}
}

func (g *nodeGroup) start(name, folder string, wrap func(*BoltStore) Store) *process {
	store, err := OpenStore(folder)
	require.NoError(g.t, err)
	p := &process{folder: folder, machine: &sumMachine{}, store: store}
	p.node, err = NewNode(NodeConfig{
		Store: wrap(store), StateMachine: p.machine, Transport: g, Log: hclog.NewNullLogger(),
		Clock: time.Now, Seed: uint64(len(folder)) + uint64(name[0]), Addr: name, SnapshotEvery: cmp.Or(g.snapshotEvery, 40),
	})
	require.NoError(g.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.group, ctx = errgroup.WithContext(ctx)
	p.group.Go(func() error { return p.node.Run(ctx) })
	g.mu.Lock()
	g.processes[name] = p
	g.mu.Unlock()
	return p
}

func unwrapped(s *BoltStore) Store { return s }

// kill stops a process and returns the error with which it ended.
func (g *nodeGroup) kill(name string) error {
	g.mu.Lock()
	p := g.processes[name]
	delete(g.processes, name)
	g.mu.Unlock()
	p.stop()
	err := p.group.Wait()
	require.NoError(g.t, p.store.Close())
	return err
}

func newGroup(t *testing.T, names ...string) *nodeGroup {
	g := &nodeGroup{t: t, processes: make(map[string]*process)}
	var members Members
	for _, name := range names {
		members = members.With(Member{Name: name, Addr: name, Voter: true})
	}
	for _, name := range names {
		folder := t.TempDir()
		require.NoError(t, InitStore(folder, name, members))
		g.start(name, folder, unwrapped)
	}
	return g
}

func (g *nodeGroup) close() {
	for name := range g.processes {
		_ = g.kill(name)
	}
}

func (g *nodeGroup) leader() (string, *process) {
	for range 3000 {
		g.mu.Lock()
		for name, p := range g.processes {
			if p.node.HasLease(time.Now()) {
				g.mu.Unlock()
				return name, p
			}
		}
		g.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(g.t, "no leader within 30 s")
	return "", nil
}

// increment commits a 1 and returns the new total.
func (g *nodeGroup) increment() uint64 {
	for range 50 {
		_, p := g.leader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		total, err := p.node.Propose(ctx, binary.BigEndian.AppendUint64(nil, 1))
		cancel()
		if err == nil {
			return total.(uint64)
		}
		if bronzerill.KindOf(err) == bronzerill.KindNoQuorum {
			require.Fail(g.t, "unknown outcome: a retry could count the command twice", "%v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(g.t, "not committed")
	return 0
}

func (g *nodeGroup) requireTotal(want uint64) {
	time.Sleep(2 * time.Second)
	for name, p := range g.processes {
		total, _ := p.machine.get()
		require.Equal(g.t, want, total, "wrong total at %s", name)
	}
}

func TestRestartAndSnapshotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.close()
		want := uint64(0)
		addMany := func(n int) {
			for range n {
				want++
				g.increment()
			}
		}
		addMany(100)
		lead, _ := g.leader()
		lagging := map[string]string{"a": "b", "b": "c", "c": "a"}[lead]
		folder := g.processes[lagging].folder
		require.NoError(t, g.kill(lagging))
		addMany(300)
		p := g.start(lagging, folder, unwrapped)
		g.requireTotal(want)
		_, count := p.machine.get()
		assert.Equal(t, want, count)

		folder = g.processes[lead].folder
		require.NoError(t, g.kill(lead))
		addMany(50)
		g.start(lead, folder, unwrapped)
		g.requireTotal(want)
	})
}

func TestLostDiskIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.close()
		for range 120 {
			g.increment()
		}
		lead, p := g.leader()
		lost := map[string]string{"a": "b", "b": "c", "c": "a"}[lead]
		require.NoError(t, g.kill(lost))
		folder := t.TempDir()
		require.NoError(t, InitStore(folder, "d", Members{}))
		g.start("d", folder, unwrapped)
		require.NoError(t, p.node.ChangeMembers(t.Context(), func(m Members) (Members, error) {
			return m.With(Member{Name: "d", Addr: "d", Replaces: lost}), nil
		}))
		time.Sleep(3 * time.Second)
		require.True(t, p.node.Status(time.Now()).Members.IsVoter("d"))
		require.NoError(t, g.kill(lead))
		assert.Equal(t, uint64(121), g.increment(), "the repaired group must survive a second loss")
	})
}

// TestDiskFailureAtEachWrite fails each write of a replica in turn, before or
// after it takes effect. The replica must stop. Restarted from its folder, it
// must hold every committed entry.
func TestDiskFailureAtEachWrite(t *testing.T) {
	for write := 1; write <= 12; write++ {
		for _, afterWrite := range []bool{false, true} {
			t.Run(fmt.Sprintf("write %d, after %t", write, afterWrite), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runDiskFailure(t, write, afterWrite) })
			})
		}
	}
}

func runDiskFailure(t *testing.T, write int, afterWrite bool) {
	g := newGroup(t, "a", "b", "c")
	defer g.close()
	for range 10 {
		g.increment()
	}
	lead, _ := g.leader()
	faulty := map[string]string{"a": "b", "b": "c", "c": "a"}[lead]
	folder := g.processes[faulty].folder
	require.NoError(t, g.kill(faulty))
	p := g.start(faulty, folder, func(s *BoltStore) Store {
		return &failingStore{BoltStore: s, savesUntilFailure: write, afterWrite: afterWrite}
	})
	for range 30 {
		g.increment()
	}
	time.Sleep(time.Second)
	assert.False(t, p.node.HasLease(time.Now()))
	assert.ErrorIs(t, g.kill(faulty), errDisk)
	g.start(faulty, folder, unwrapped)
	g.requireTotal(40)
}

// Guards against a command that was checked in one term and is appended in a later one.
func TestCommandIsNotAppendedInLaterTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a")
		defer g.close()
		g.increment()
		_, p := g.leader()
		term := p.node.Status(time.Now()).Term
		for _, test := range []struct {
			term uint64
			want bronzerill.Kind
		}{{term - 1, bronzerill.KindNotLeader}, {term, bronzerill.KindNone}, {term + 1, bronzerill.KindNotLeader}} {
			// A term of 0 would allow any.
			if test.term == 0 {
				continue
			}
			await, err := p.node.Enqueue(t.Context(), test.term, binary.BigEndian.AppendUint64(nil, 1))
			require.NoError(t, err)
			_, err = await()
			require.Equal(t, test.want, bronzerill.KindOf(err))
		}
		g.requireTotal(2)
	})
}
