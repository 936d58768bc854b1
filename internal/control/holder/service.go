package holder

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bronzerill"
	"bronzerill/internal/control/replica"
	"bronzerill/internal/control/state"
	"bronzerill/internal/platform/list"
	"bronzerill/internal/run/ticker"
)

// Timing of the service.
const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	listInterval   = time.Second
	expireInterval = time.Minute
	proposeTimeout = 2 * time.Second
	// maxReports bounds the recent reports that are stored for reading.
	maxReports = 64
)

// Group is the replicated log that the service uses.
type Group interface {
	Propose(ctx context.Context, command []byte) (any, error)
	Enqueue(ctx context.Context, term uint64, command []byte) (await func() (any, error), err error)
	HasLease(now time.Time) bool
	Status(now time.Time) replica.Status
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Group   Group
	Machine *state.Machine
	// List is the platform's instance list, or nil if the site has none.
	List  list.Source
	Clock func() time.Time
	Log   hclog.Logger
	// LeaderAddr returns the address at which holders reach the named replica.
	LeaderAddr func(name string) string
}

// Service serves lease holders and operators on the leader of the group. Its
// methods are safe for concurrent use.
type Service struct {
	cfg ServiceConfig
	mu  sync.Mutex
	// table is nil unless this replica is the leader. losses is nil until it first
	// becomes the leader.
	table  *Table
	losses *losses
	// reports holds the latest reports of this leader, oldest first.
	reports    []bronzerill.Report
	reportSeq  uint32
	nextReport time.Time
	nextExpire time.Time
	// invalidEntries is the number of invalid entries in the list that was read last. Only
	// readList uses it.
	invalidEntries int
	tickets        ticketOrder
	registrations  registrations
}

// NewService returns a service without a table. It creates one when Run finds
// that this replica is the leader.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, tickets: newTicketOrder()}
}

// Run maintains the tables until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	return ticker.Every(ctx, tickInterval, s.runTick)
}

func (s *Service) runTick(ctx context.Context) {
	now := s.cfg.Clock()
	s.tick(now)
	for _, c := range s.pendingCommands(now) {
		if _, err := s.Propose(ctx, c); err != nil {
			s.cfg.Log.Warn("leader command failed", "error", err.Error())
		}
	}
}

// RunList polls the platform's list until ctx ends. It returns at once if the
// site has none.
func (s *Service) RunList(ctx context.Context) error {
	if s.cfg.List == nil {
		return nil
	}
	return ticker.Every(ctx, listInterval, s.readList)
}

func (s *Service) readList(ctx context.Context) {
	d, err := s.cfg.List.Fetch(ctx)
	if err != nil {
		s.cfg.Log.Warn("failed to read instance list", "error", err.Error())
		return
	}
	s.setLeaving(d.Leaving())
	if d.Invalid != s.invalidEntries {
		s.cfg.Log.Warn("invalid entries in the instance list", "entries", d.Invalid, "before", s.invalidEntries)
		s.invalidEntries = d.Invalid
	}
}

func (s *Service) setLeaving(leaving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil {
		s.table.SetLeaving(leaving)
	}
}

// tick replaces the table after a change of leader or term, updates it, and
// generates reports.
func (s *Service) tick(now time.Time) {
	status := s.cfg.Group.Status(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !status.IsLeader || !status.Lease {
		s.table = nil
		s.reports = nil
		return
	}
	if s.table == nil || s.table.Term() != status.Term {
		s.cfg.Log.Info("leading", "term", status.Term)
		s.table = NewTable(now, status.Term)
		s.losses = newLosses()
		s.reports = nil
		s.reportSeq = 0
		s.nextExpire = now.Add(expireInterval)
	}
	c := s.cfg.Machine.Config()
	s.table.Tick(now, c)
	if now.Before(s.nextReport) {
		return
	}
	s.nextReport = now.Add(reportInterval)
	s.addReport(now, c)
}

func (s *Service) addReport(now time.Time, c *bronzerill.Config) {
	number := ReportNumber(s.table.Term(), s.reportSeq+1)
	report, ok := s.table.Report(now, number, c, s.cfg.Machine.Promised(now))
	if !ok {
		return
	}
	s.reportSeq++
	s.reports = append(s.reports, report)
	if len(s.reports) > maxReports {
		s.reports = s.reports[1:]
	}
}

// pendingCommands returns the commands that the leader must propose now: to
// abandon the claims and trials of lost agents, and to expire old state.
func (s *Service) pendingCommands(now time.Time) []state.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil || !s.table.IsSettled(now) {
		return nil
	}
	var commands []state.Command
	for _, agent := range s.cfg.Machine.RunningAgents() {
		if !s.table.IsLive(now, agent) {
			generation := s.cfg.Machine.Generation(agent)
			commands = append(commands, state.Command{Abandon: &state.Abandon{Agent: agent, Generation: generation}})
		}
	}
	if !now.Before(s.nextExpire) {
		s.nextExpire = now.Add(expireInterval)
		commands = append(commands, state.Command{Expire: &state.Expire{}})
	}
	return commands
}

// Propose replicates a command and returns the result of the state machine. A
// failed command returns its result and an error.
func (s *Service) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	c.At = s.cfg.Clock()
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, bronzerill.Errorf(bronzerill.KindInternal, "encode command: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var value any
	if c.Ticket != nil {
		value, err = s.proposeTicket(ctx, c.Ticket.Ticket, data)
	} else {
		value, err = s.cfg.Group.Propose(ctx, data)
	}
	if err != nil {
		return state.Result{}, err
	}
	result, ok := value.(state.Result)
	if !ok {
		return state.Result{}, bronzerill.Errorf(bronzerill.KindInternal, "state machine returned no result")
	}
	return result, result.Err()
}

// CheckLeader returns nil if this replica may answer for the group, and otherwise
// an error that names the leader.
func (s *Service) CheckLeader(now time.Time) error {
	if s.cfg.Group.HasLease(now) {
		return nil
	}
	return bronzerill.Errorf(bronzerill.KindNotLeader, "this replica is not the current leader; the leader's address is %q", s.LeaderAddr(now))
}

// LeaderAddr returns the address at which holders reach the leader.
func (s *Service) LeaderAddr(now time.Time) string {
	return s.cfg.LeaderAddr(s.cfg.Group.Status(now).Leader)
}

// RecordLoss records that an entry reported an agent as lost.
func (s *Service) RecordLoss(now time.Time, pool, agent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losses != nil {
		s.losses.add(now, pool, agent)
	}
}

// IsMassLoss reports whether many agents of the pool were lost at the same time.
func (s *Service) IsMassLoss(now time.Time, pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses != nil && s.losses.isMassLoss(now, pool)
}

// IsInForce reports whether every holder with a lease has the revision. It is
// false unless this replica is the leader.
func (s *Service) IsInForce(now time.Time, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.table.IsInForce(now, revision)
}

// Report returns the report with the given number, or the latest one if the
// number is 0.
func (s *Service) Report(now time.Time, number uint64) (bronzerill.Report, error) {
	if err := s.CheckLeader(now); err != nil {
		return bronzerill.Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.reports) - 1; i >= 0; i-- {
		if number == 0 || s.reports[i].Number == number {
			return s.reports[i], nil
		}
	}
	return bronzerill.Report{}, bronzerill.Errorf(bronzerill.KindNoQuorum, "report not found; a new leader generates its first report after %s", settleTime)
}

// Overview is the state of the fleet as shown to operators.
type Overview struct {
	Replica  replica.Status `json:"replica"`
	Revision uint64         `json:"revision"`
	Settled  bool           `json:"settled"`
	Holders  int            `json:"holders"`
	Servers  []ServerRow    `json:"servers"`
}

// ServerRow describes one backend server in an Overview.
type ServerRow struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Overview returns the current state of the fleet.
func (s *Service) Overview(now time.Time) Overview {
	o := Overview{Replica: s.cfg.Group.Status(now), Revision: s.cfg.Machine.Config().Revision()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return o
	}
	o.Settled = s.table.IsSettled(now)
	o.Holders = s.table.HolderCount()
	for _, server := range s.table.Servers() {
		o.Servers = append(o.Servers, ServerRow{server.Name, server.Pool, server.Zone, server.State.String()})
	}
	return o
}
