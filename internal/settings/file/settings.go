// Package file reads the settings file of one process.
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

// minSecretBytes is the least length of a secret.
const minSecretBytes = 16

// Duration is a time with its unit, such as "3s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Settings is the content of one settings file. A role runs when its section is
// present.
type Settings struct {
	// Name is unique in the fleet.
	Name string `toml:"name"`
	// Zone is the data centre of this process.
	Zone string `toml:"zone"`
	// SecretFile holds the secret that own processes share.
	SecretFile string `toml:"secret-file"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"log-level"`
	// Control lists the control replicas' addresses; entries and agents need it.
	Control  []string  `toml:"control-replicas"`
	Operator *Operator `toml:"operator"`
	Replica  *Replica  `toml:"control"`
	Entry    *Entry    `toml:"entry"`
	Agent    *Agent    `toml:"agent"`
	Router   *Router   `toml:"router"`
}

// Operator is the port for operators, metrics and health.
type Operator struct {
	Listen string `toml:"listen"`
	// SecretFile holds the operators' secret; it differs from the fleet's.
	SecretFile string `toml:"secret-file"`
	// Allow lists the address ranges that may connect.
	Allow []string `toml:"allow"`
}

// Replica is the control role.
type Replica struct {
	Listen     string `toml:"listen"`
	DataFolder string `toml:"data-folder"`
	// InstanceList is the platform's list, a file or an HTTP address; may be
	// empty.
	InstanceList string `toml:"instance-list"`
}

// Entry is the entry role.
type Entry struct {
	Listen string `toml:"listen"`
	// BalancerDelay is how long the platform's balancer may still send callers
	// after the process says that it isn't ready.
	BalancerDelay Duration `toml:"balancer-delay"`
}

// Agent is the role beside one backend server.
type Agent struct {
	Listen string `toml:"listen"`
	// Server names the backend server.
	Server string `toml:"server"`
	Pool   string `toml:"pool"`
	// Kind is engine or service.
	Kind string `toml:"kind"`
	// Backend is the server's HTTP address.
	Backend string `toml:"backend"`
	// DrainTimeout bounds the wait for running requests at a stop.
	DrainTimeout Duration `toml:"drain-timeout"`
}

// Default returns the settings that a file starts from.
func Default() Settings { return Settings{LogLevel: "info"} }

// Load reads and checks a settings file. The error lists every fault with the
// file, and the line where the parser knows it.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse reads and checks settings.
func Parse(data []byte) (Settings, error) {
	s := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, explain(err)
	}
	s = s.withDefaults()
	if faults := s.faults(); len(faults) > 0 {
		return Settings{}, errors.New(strings.Join(faults, "; "))
	}
	return s, nil
}

// explain adds the line and key to the parser's errors.
func explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.Errorf("unknown keys, remove or correct them:\n%s", strict.String())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return errors.Errorf("line %d, column %d, key %s: %v", line, column, strings.Join(decode.Key(), "."), decode)
	}
	return err
}

// Defaults of optional keys.
const (
	defaultBalancerDelay = 3 * time.Second
	defaultDrainTimeout  = 5 * time.Minute
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

type checker struct{ faults []string }

func (c *checker) want(ok bool, fault string) {
	if !ok {
		c.faults = append(c.faults, fault)
	}
}

func (c *checker) address(key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.want(err == nil, key+": want an IP number and port such as 10.0.0.1:7100, got \""+value+"\"")
}

func (s Settings) faults() []string {
	c := &checker{}
	c.want(s.Name != "" && !strings.ContainsAny(s.Name, "/ \t"), "name: want a name without slash or space")
	// Routers may run without a secret, where their network is their own.
	c.want(s.SecretFile != "" || s.Router != nil, "secret-file: missing")
	c.want(s.Replica != nil || s.Entry != nil || s.Agent != nil || s.Router != nil, "no role: add a section control, entry, agent or router")
	if s.Entry != nil || s.Agent != nil {
		c.want(len(s.Control) > 0, "control-replicas: missing, entries and agents need it")
	}
	for _, addr := range s.Control {
		c.address("control-replicas", addr)
	}
	if s.Replica != nil {
		c.address("control.listen", s.Replica.Listen)
		c.want(s.Replica.DataFolder != "", "control.data-folder: missing")
	}
	if s.Entry != nil {
		c.address("entry.listen", s.Entry.Listen)
	}
	if s.Agent != nil {
		c.agent(s)
	}
	if s.Operator != nil {
		c.operator(*s.Operator)
	}
	if s.Router != nil {
		c.router(*s.Router)
	}
	return c.faults
}

func (c *checker) agent(s Settings) {
	c.address("agent.listen", s.Agent.Listen)
	c.want(s.Zone != "", "zone: missing, agents need it")
	c.want(s.Agent.Server != "", "agent.server: missing")
	c.want(s.Agent.Pool != "", "agent.pool: missing")
	c.want(s.Agent.Kind == "engine" || s.Agent.Kind == "service", "agent.kind: want engine or service")
	c.want(strings.HasPrefix(s.Agent.Backend, "http://"), "agent.backend: want an address such as http://10.0.0.1:8000")
}

func (c *checker) operator(o Operator) {
	c.address("operator.listen", o.Listen)
	c.want(o.SecretFile != "", "operator.secret-file: missing")
	for _, prefix := range o.Allow {
		_, err := netip.ParsePrefix(prefix)
		c.want(err == nil, "operator.allow: want a range such as 10.0.0.0/8, got \""+prefix+"\"")
	}
}

// ReadSecret reads a secret from its file.
func ReadSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "secret")
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", errors.Errorf("secret in %s is under %d bytes", path, minSecretBytes)
	}
	return secret, nil
}
