package file

import (
	"strconv"
	"time"
)

// Number is a number that may be written in quotes.
type Number float64

// UnmarshalText parses a decimal number.
func (n *Number) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseFloat(string(text), 64)
	*n = Number(parsed)
	return err
}

// MarshalText formats the number in its shortest form.
func (n Number) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(n), 'g', -1, 64), nil
}

// Router holds the settings of the router role. A router forwards callers' requests on the
// users' platform directly to backend servers, without agents.
type Router struct {
	// Callers is the listen address for callers.
	Callers string `toml:"callers"`
	// Readiness is the listen address for the load balancer's readiness checks.
	Readiness string `toml:"readiness"`
	// Operators is the listen address for operators.
	Operators string `toml:"operators"`
	// Internal is the TCP and UDP listen address for peers. All routers use the same
	// port.
	Internal string `toml:"internal"`
	// Advertise is the address that peers use to reach Internal, if it differs, such
	// as behind NAT. The default is Internal.
	Advertise string `toml:"advertise"`
	// Metrics is the listen address for counters and histograms. If empty, they aren't
	// served there.
	Metrics string `toml:"metrics"`
	// Seeds lists the operator addresses of some routers.
	Seeds []string `toml:"seeds"`
	// Bootstrap is set for the first start of a fleet.
	Bootstrap bool `toml:"found"`
	// DataFolder is a folder on the disk of the instance, empty if there is no disk.
	DataFolder string `toml:"data-folder"`
	// InstanceList is the address of the platform's list of servers.
	InstanceList string `toml:"instance-list"`
	// Losses is the number of instances with a disk that may fail at the same time.
	Losses int `toml:"losses"`
	// MemoryMB is the memory limit above which the process is killed, 0 for no limit.
	MemoryMB int `toml:"memory-mb"`
	// StopTimeout is the time between SIGTERM and SIGKILL.
	StopTimeout Duration `toml:"stop-timeout"`
	Bounds      Bounds   `toml:"bounds"`
}

// AdvertisedAddr returns the address that peers use to reach this router.
func (r Router) AdvertisedAddr() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Internal
}

// Bounds holds limits that are promised to the users of a deployment. They apply to all
// routers together.
type Bounds struct {
	// RetryRatio and RetrySlack limit the extra attempts sent to a service: at most
	// ratio * requests + slack in any time window.
	RetryRatio Number `toml:"retry-ratio"`
	RetrySlack Number `toml:"retry-slack"`
	// LoadMultiple limits the load of a server, as a multiple of the mean load of its
	// service.
	LoadMultiple Number `toml:"load-multiple"`
}

// minStopTimeout leaves time for requests in flight to finish.
const minStopTimeout = time.Second

func (c *checker) checkRouter(r Router) {
	c.checkAddress("router.callers", r.Callers)
	c.checkAddress("router.readiness", r.Readiness)
	c.checkAddress("router.operators", r.Operators)
	c.checkAddress("router.internal", r.Internal)
	if r.Advertise != "" {
		c.checkAddress("router.advertise", r.Advertise)
	}
	if r.Metrics != "" {
		c.checkAddress("router.metrics", r.Metrics)
	}
	c.require(len(r.Seeds) > 0, "router.seeds: missing")
	for _, seed := range r.Seeds {
		c.checkAddress("router.seeds", seed)
	}
	c.checkAddress("router.instance-list", r.InstanceList)
	c.require(r.StopTimeout.Duration >= minStopTimeout, "router.stop-timeout: want 1s or more")
	c.require(r.MemoryMB >= 0, "router.memory-mb: want 0 or more")
	c.require(r.Losses >= 0, "router.losses: want 0 or more")
	c.require(r.Bounds.RetryRatio >= 0 && r.Bounds.RetrySlack >= 0, "router.bounds: want retry-ratio and retry-slack of 0 or more")
	c.require(r.Bounds.LoadMultiple == 0 || r.Bounds.LoadMultiple >= 1, "router.bounds.load-multiple: want 1 or more")
}
