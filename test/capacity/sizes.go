// Package capacity measures the cost of the control plane. It runs the real control
// plane code of many nodes in one process on virtual time, without sockets or disks,
// against simulated engines. It does not check correctness, which the simulator does.
package capacity

import (
	"fmt"
	"slices"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/kernel"
)

const (
	ms  = kernel.Millisecond
	sec = kernel.Second
	mib = 1 << 20
)

// Role is the function of a node in the fleet.
type Role string

// The roles of nodes. A node with several roles counts under the first of them in this order.
const (
	Leader      Role = "leader"
	Voter       Role = "voter"
	Standby     Role = "standby"
	Coordinator Role = "home" // coordinates its zone and keeps the zone's directory
	Router      Role = "router"
)

// Roles returns all roles, in order of precedence.
func Roles() []Role { return []Role{Leader, Voter, Standby, Coordinator, Router} }

// UnknownRoleError reports a role that does not exist.
type UnknownRoleError struct {
	Role  Role
	Known []Role
}

func (err UnknownRoleError) Error() string {
	return fmt.Sprintf("unknown role %q; known roles are %v", err.Role, err.Known)
}

// Rules select the guarantees of a fleet and how its engines become known.
type Rules string

const (
	// Strict rules are the defaults of a node: three voters, leases that expire, acknowledgement
	// by a majority of the routers, and engines that report to a node of their zone.
	Strict Rules = "strict"
	// Deployment rules are the node settings of server.Deployment. Engines register
	// themselves, each time with any node.
	Deployment Rules = "deployment"
)

// UnknownRulesError reports rules that do not exist.
type UnknownRulesError struct{ Rules Rules }

func (err UnknownRulesError) Error() string {
	return fmt.Sprintf("unknown rules %q; known rules are %q and %q", err.Rules, Strict, Deployment)
}

// OutOfBoundsError reports a size outside of the range that the program or the machine supports.
type OutOfBoundsError struct {
	What      string
	Asked     int64
	Low, High int64
}

func (err OutOfBoundsError) Error() string {
	return fmt.Sprintf("%s: %d is not in the range from %d to %d", err.What, err.Asked, err.Low, err.High)
}

// TimeLimitError reports that a run exceeded its limit of wall time.
type TimeLimitError struct {
	Step  string
	Bound kernel.Micros
}

func (err TimeLimitError) Error() string {
	return fmt.Sprintf("stopped in %q after %d us of wall time", err.Step, err.Bound)
}

// UnsettledError reports that a condition was not met within a span of virtual time.
type UnsettledError struct {
	Step string
	Span kernel.Micros
	Why  string
}

func (err UnsettledError) Error() string {
	return fmt.Sprintf("%s: not settled after %d us: %s", err.Step, err.Span, err.Why)
}

// Sizes configures a measured fleet and its load, faults and limits.
type Sizes struct {
	Nodes    int `json:"nodes"`   // routers and control machines together
	Control  int `json:"control"` // machines with a controller and a disk that don't route; included in Nodes
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	Engines  int `json:"engines"`
	Routes   int `json:"routes"`
	Prefixes int `json:"prefixes"`
	Sessions int `json:"sessions"` // open requests at one router
	Tenants  int `json:"tenants"`  // different request kinds that the routes match

	Rules   Rules         `json:"rules"`
	Report  kernel.Micros `json:"report_us"`   // interval between an engine's reports
	Changes int           `json:"changes_1e3"` // configuration changes in 1000 seconds
	Span    kernel.Micros `json:"span_us"`     // virtual time that is measured
	// Restart is the percentage of routers that are restarted at once.
	Restart int           `json:"restart_percent"`
	Cut     kernel.Micros `json:"cut_us"` // how long the last region is partitioned from the others
	Roles   []Role        `json:"roles"`  // roles whose memory is measured

	Wall     kernel.Micros `json:"wall_us"`   // limit of wall time for the whole run
	MemoryMB int           `json:"memory_mb"` // memory limit of the process, in MiB

	isPart bool // a single part of one process is measured; the other nodes exist only as names in its tables
}

// DefaultSizes returns the sizes of a small fleet.
func DefaultSizes() Sizes {
	return Sizes{
		Nodes: 32, Engines: 64, Routes: 100, Prefixes: 1000, Sessions: 100, Tenants: 16,
		Rules: Strict, Report: sec, Span: 5 * sec, Roles: Roles(), Wall: 240 * sec, MemoryMB: 1536,
	}
}

// WithDefaults sets the numbers of control machines, zones and regions that are zero. They are derived
// from the number of nodes in the proportions of the planned deployment, which has 14 control machines,
// 24 zones and 7 regions for 410 nodes. There are always enough control machines for one standby.
func (s Sizes) WithDefaults() Sizes {
	least := 4
	if s.Rules == Deployment {
		least = deploymentVoters + 1
	}
	if s.Control == 0 {
		s.Control = max(least, s.Nodes*14/410)
	}
	if s.Zones == 0 {
		s.Zones = min(24, max(3, s.Nodes/8))
	}
	if s.Regions == 0 {
		s.Regions = min(7, s.Zones)
	}
	return s
}

// Memory of a measured node and its parts, from heap profiles. The values serve only to reject a run
// that would not fit before it starts, so they are high rather than low estimates.
const (
	nodeBytes   = 600 << 10
	engineBytes = 1200
	peerBytes   = 800
	routeBytes  = 1200
)

// RequiredMemory returns the estimated memory of a run in bytes.
func (s Sizes) RequiredMemory() int64 {
	nodes, engines := int64(s.Nodes), int64(s.Engines)
	if s.isPart {
		nodes = 1
	}
	return nodes*(nodeBytes+engines*engineBytes+nodes*peerBytes+int64(s.Routes)*routeBytes) + int64(s.Sessions)*4096
}

// Check returns an error, which wraps an OutOfBoundsError for a number, if the program or the machine does not support
// the sizes.
func (s Sizes) Check() error {
	for _, bound := range []struct {
		what             string
		value, low, high int64
	}{
		{"nodes", int64(s.Nodes), 5, 820}, {"control machines", int64(s.Control), 3, int64(s.Nodes) - 1},
		{"zones", int64(s.Zones), 3, int64(s.Nodes)}, {"regions", int64(s.Regions), 1, int64(s.Zones)},
		{"engines", int64(s.Engines), 0, 6800}, {"routes", int64(s.Routes), 1, 20000},
		{"prefixes", int64(s.Prefixes), 1, 1 << 20}, {"sessions", int64(s.Sessions), 0, 1 << 17}, {"tenants", int64(s.Tenants), 1, 20000},
		{"report_us", int64(s.Report), int64(50 * ms), int64(600 * sec)}, {"changes in a thousand seconds", int64(s.Changes), 0, 20000},
		{"span_us", int64(s.Span), int64(sec), int64(600 * sec)}, {"restarted percent", int64(s.Restart), 0, 50},
		{"cut_us", int64(s.Cut), 0, int64(3600 * sec)}, {"wall_us", int64(s.Wall), int64(sec), int64(1800 * sec)},
	} {
		if bound.value < bound.low || bound.value > bound.high {
			return fmt.Errorf("check the sizes: %w", OutOfBoundsError{bound.what, bound.value, bound.low, bound.high})
		}
	}
	if s.Rules != Strict && s.Rules != Deployment {
		return fmt.Errorf("check the rules: %w", UnknownRulesError{s.Rules})
	}
	for _, role := range s.Roles {
		if !slices.Contains(Roles(), role) {
			return fmt.Errorf("check the roles: %w", UnknownRoleError{role, Roles()})
		}
	}
	half, err := halfOfMemory()
	if err != nil {
		return fmt.Errorf("check the sizes: %w", err)
	}
	if asked := int64(s.MemoryMB); asked < 64 || asked > half {
		return fmt.Errorf("check the sizes: %w", OutOfBoundsError{"megabytes of memory", asked, 64, half})
	}
	if need := s.RequiredMemory() / mib; need > int64(s.MemoryMB) {
		return fmt.Errorf("check the sizes: %w", OutOfBoundsError{"megabytes that these sizes need", need, 0, int64(s.MemoryMB)})
	}
	return nil
}

// halfOfMemory returns half of the machine's memory in MiB. The other half is left to other users of the machine.
func halfOfMemory() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, fmt.Errorf("read the machine's memory size: %w", err)
	}
	return int64(info.Totalram) * int64(info.Unit) / 2 / mib, nil
}
