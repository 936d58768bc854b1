package file

import (
	"strconv"
	"time"
)

// Number is a number that may stand in quotes.
type Number float64

// UnmarshalText parses a number.
func (n *Number) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseFloat(string(text), 64)
	*n = Number(parsed)
	return err
}

// MarshalText returns the number.
func (n Number) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(n), 'g', -1, 64), nil
}

// Router is the role that takes callers' requests to backend servers by itself,
// without agents, on the users' platform.
type Router struct {
	// Callers is the address for callers.
	Callers string `toml:"callers"`
	// Readiness is the address at which the balancer asks whether callers may
	// come.
	Readiness string `toml:"readiness"`
	// Operators is the address for operators.
	Operators string `toml:"operators"`
	// Internal is the address for other routers, over TCP and UDP. The port is
	// the same at all routers.
	Internal string `toml:"internal"`
	// Advertise is where other routers reach the internal address, if that differs,
	// as behind a translation of addresses. Empty means Internal.
	Advertise string `toml:"advertise"`
	// Metrics is the address of counters and histograms.
	Metrics string `toml:"metrics"`
	// Seeds are the operators' addresses of some routers.
	Seeds []string `toml:"seeds"`
	// Bootstrap is set when the fleet starts for the first time.
	Bootstrap bool `toml:"found"`
	// DataFolder is on the instance's disk; empty where there is none.
	DataFolder string `toml:"data-folder"`
	// InstanceList is the address of the platform's list of servers.
	InstanceList string `toml:"instance-list"`
	// Losses is the number of instances with a disk that may be lost at once.
	Losses int `toml:"losses"`
	// MemoryMB is the memory after which the process is killed, 0 for no limit.
	MemoryMB int `toml:"memory-mb"`
	// StopTimeout is the time between SIGTERM and SIGKILL.
	StopTimeout Duration `toml:"stop-timeout"`
	Bounds      Bounds   `toml:"bounds"`
}

// AdvertisedAddr returns the address at which other routers reach this one.
func (r Router) AdvertisedAddr() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Internal
}

// Bounds are promised to the users of a deployment; all routers together keep
// them.
type Bounds struct {
	// RetryRatio and RetrySlack bound the extra sends to a service: ratio x
	// requests + slack, in any window.
	RetryRatio Number `toml:"retry-ratio"`
	RetrySlack Number `toml:"retry-slack"`
	// LoadMultiple bounds a server's load relative to its service's mean.
	LoadMultiple Number `toml:"load-multiple"`
}

// minStopTimeout leaves time for requests under way.
const minStopTimeout = time.Second

func (c *checker) router(r Router) {
	c.address("router.callers", r.Callers)
	c.address("router.readiness", r.Readiness)
	c.address("router.operators", r.Operators)
	c.address("router.internal", r.Internal)
	if r.Advertise != "" {
		c.address("router.advertise", r.Advertise)
	}
	if r.Metrics != "" {
		c.address("router.metrics", r.Metrics)
	}
	c.want(len(r.Seeds) > 0, "router.seeds: missing")
	for _, seed := range r.Seeds {
		c.address("router.seeds", seed)
	}
	c.address("router.instance-list", r.InstanceList)
	c.want(r.StopTimeout.Duration >= minStopTimeout, "router.stop-timeout: want 1s or more")
	c.want(r.MemoryMB >= 0, "router.memory-mb: want no negative number")
	c.want(r.Losses >= 0, "router.losses: want no negative number")
	c.want(r.Bounds.RetryRatio >= 0 && r.Bounds.RetrySlack >= 0, "router.bounds: want no negative number")
	c.want(r.Bounds.LoadMultiple == 0 || r.Bounds.LoadMultiple >= 1, "router.bounds.load-multiple: want 1 or more")
}
