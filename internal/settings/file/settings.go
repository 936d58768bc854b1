// Package file reads and checks the settings file of a process.
package file

import (
	"bytes"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// Duration is a duration that is written with its unit, such as "3s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Settings holds the settings of a process. The process runs the roles whose sections are
// present.
type Settings struct {
	// Name is unique in the fleet.
	Name string `toml:"name"`
	// Zone is the data centre of this process.
	Zone string `toml:"zone"`
	// SecretFile is the file with the secret shared by all processes of the fleet.
	SecretFile string `toml:"secret-file"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"log-level"`
	// Control lists the addresses of the control replicas. Entries and agents need it.
	Control  []string  `toml:"control-replicas"`
	Limits   Limits    `toml:"limits"`
	Operator *Operator `toml:"operator"`
	Replica  *Replica  `toml:"control"`
	Entry    *Entry    `toml:"entry"`
	Agent    *Agent    `toml:"agent"`
	Router   *Router   `toml:"router"`
}

// Operator holds the settings of the port for operators, metrics and health checks.
type Operator struct {
	Listen string `toml:"listen"`
	// SecretFile is the file with the operators' secret, which differs from the
	// fleet's secret.
	SecretFile string `toml:"secret-file"`
	// Allow lists the CIDR ranges of clients that may connect. The default is
	// 127.0.0.0/8.
	Allow []string `toml:"allow"`
}

// Replica holds the settings of the control role.
type Replica struct {
	Listen     string `toml:"listen"`
	DataFolder string `toml:"data-folder"`
	// InstanceList is the path or HTTP URL of the platform's list of instances. It may
	// be empty.
	InstanceList string `toml:"instance-list"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	Listen string `toml:"listen"`
	// BalancerDelay is how long the platform's load balancer may still send requests
	// after the process reports that it isn't ready. The default is 3 s.
	BalancerDelay Duration `toml:"balancer-delay"`
}

// Agent holds the settings of the agent role, which runs beside one backend server.
type Agent struct {
	Listen string `toml:"listen"`
	// Server is the name of the backend server.
	Server string `toml:"server"`
	Pool   string `toml:"pool"`
	// Kind is engine or service.
	Kind string `toml:"kind"`
	// Backend is the HTTP URL of the backend server.
	Backend string `toml:"backend"`
	// DrainTimeout limits how long a stopping agent waits for running requests. The
	// default is 5 min.
	DrainTimeout Duration `toml:"drain-timeout"`
}

// Limits holds what the process may use of its machine.
type Limits struct {
	// MemoryMB is the memory limit above which the process is killed, 0 for no limit. A router's may also stand in
	// its own section.
	MemoryMB int `toml:"memory-mb"`
	// MaxDescriptors is how many descriptors the process may have open. The default is the limit of the operating
	// system.
	MaxDescriptors int `toml:"max-descriptors"`
	// MaxConnections is how many connections the port for callers, or an agent's for entries, may have open. The default
	// follows from the other limits.
	MaxConnections int `toml:"max-connections"`
	// StallTimeout is how long a client may take to send or read the next 64 KB of a request or response, or the rest. The
	// default is 30 s.
	StallTimeout Duration `toml:"stall-timeout"`
}

// MemoryBytes returns the memory limit of the process in bytes, 0 for no limit.
func (s Settings) MemoryBytes() int64 {
	limit := s.Limits.MemoryMB
	if s.Router != nil && s.Router.MemoryMB > 0 {
		limit = s.Router.MemoryMB
	}
	return int64(limit) << 20
}

// Default returns the settings that apply before a file is read.
func Default() Settings { return Settings{LogLevel: "info"} }

// Load reads and checks a settings file. The error names the file and lists all faults.
// Syntax and type errors also name the line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse decodes settings, sets defaults and checks the result.
func Parse(data []byte) (Settings, error) {
	s := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, describeDecodeError(err)
	}
	s = s.withDefaults()
	if faults := s.faults(); len(faults) > 0 {
		return Settings{}, errors.New(strings.Join(faults, "; "))
	}
	return s, nil
}

// describeDecodeError adds the line and key to an error of the TOML decoder.
func describeDecodeError(err error) error {
	var strictError *toml.StrictMissingError
	if errors.As(err, &strictError) {
		return errors.Errorf("unknown keys:\n%s", strictError.String())
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, column := decodeError.Position()
		return errors.Errorf("line %d, column %d, key %s: %v", line, column, strings.Join(decodeError.Key(), "."), decodeError)
	}
	return err
}

// Defaults of optional keys.
const (
	defaultBalancerDelay = 3 * time.Second
	defaultDrainTimeout  = 5 * time.Minute
	defaultStallTimeout  = 30 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Entry != nil && s.Entry.BalancerDelay.Duration == 0 {
		s.Entry.BalancerDelay.Duration = defaultBalancerDelay
	}
	if s.Agent != nil && s.Agent.DrainTimeout.Duration == 0 {
		s.Agent.DrainTimeout.Duration = defaultDrainTimeout
	}
	if s.Operator != nil && len(s.Operator.Allow) == 0 {
		s.Operator.Allow = []string{"127.0.0.0/8"}
	}
	if s.Limits.StallTimeout.Duration == 0 {
		s.Limits.StallTimeout.Duration = defaultStallTimeout
	}
	return s
}

// String returns the settings with their defaults as TOML.
func (s Settings) String() string {
	data, err := toml.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// checker collects the faults of settings.
type checker struct{ faults []string }

func (c *checker) require(ok bool, fault string) {
	if !ok {
		c.faults = append(c.faults, fault)
	}
}

func (c *checker) checkAddress(key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, key+": want an IP address and port such as 10.0.0.1:7100, got \""+value+"\"")
}

func (s Settings) faults() []string {
	c := &checker{}
	c.require(s.Name != "" && !strings.ContainsAny(s.Name, "/ \t"), "name: want a name without slashes or spaces")
	// Routers may run without a secret on a private network.
	c.require(s.SecretFile != "" || s.Router != nil, "secret-file: missing")
	c.require(s.Replica != nil || s.Entry != nil || s.Agent != nil || s.Router != nil, "no role: want a section control, entry, agent or router")
	if s.Entry != nil || s.Agent != nil {
		c.require(len(s.Control) > 0, "control-replicas: missing, required for entries and agents")
	}
	for _, addr := range s.Control {
		c.checkAddress("control-replicas", addr)
	}
	if s.Replica != nil {
		c.checkAddress("control.listen", s.Replica.Listen)
		c.require(s.Replica.DataFolder != "", "control.data-folder: missing")
	}
	if s.Entry != nil {
		c.checkAddress("entry.listen", s.Entry.Listen)
	}
	if s.Agent != nil {
		c.checkAgent(s)
	}
	if s.Operator != nil {
		c.checkOperator(*s.Operator)
	}
	if s.Router != nil {
		c.checkRouter(*s.Router)
	}
	c.checkLimits(s.Limits)
	return c.faults
}

// minDescriptors is the least number of descriptors with which a process can work.
const minDescriptors = 64

func (c *checker) checkLimits(l Limits) {
	c.require(l.MemoryMB >= 0, "limits.memory-mb: want 0 or more")
	c.require(l.MaxDescriptors == 0 || l.MaxDescriptors >= minDescriptors, "limits.max-descriptors: want 64 or more")
	c.require(l.MaxConnections >= 0, "limits.max-connections: want 0 or more")
	c.require(l.MaxDescriptors == 0 || l.MaxConnections < l.MaxDescriptors, "limits.max-connections: want less than limits.max-descriptors")
	c.require(l.StallTimeout.Duration > 0, "limits.stall-timeout: want a time above 0")
}

func (c *checker) checkAgent(s Settings) {
	c.checkAddress("agent.listen", s.Agent.Listen)
	c.require(s.Zone != "", "zone: missing, required for agents")
	c.require(s.Agent.Server != "", "agent.server: missing")
	c.require(s.Agent.Pool != "", "agent.pool: missing")
	c.require(s.Agent.Kind == "engine" || s.Agent.Kind == "service", "agent.kind: want engine or service")
	c.require(strings.HasPrefix(s.Agent.Backend, "http://"), "agent.backend: want a URL such as http://10.0.0.1:8000")
}

func (c *checker) checkOperator(o Operator) {
	c.checkAddress("operator.listen", o.Listen)
	c.require(o.SecretFile != "", "operator.secret-file: missing")
	for _, prefix := range o.Allow {
		_, err := netip.ParsePrefix(prefix)
		c.require(err == nil, "operator.allow: want a range such as 10.0.0.0/8, got \""+prefix+"\"")
	}
}

// ReadSecret reads a secret from a file and trims white space. It fails if the secret is
// shorter than 16 bytes.
func ReadSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "secret")
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", errors.Errorf("secret in %s is shorter than %d bytes", path, minSecretBytes)
	}
	return secret, nil
}
