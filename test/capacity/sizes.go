// Package capacity measures what the control plane costs: nodes which are the real
// owners without process, socket or disk, many to one process, before simulated engines,
// on virtual time. Nothing here judges what is right; the simulator does.
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

// Role is what a node does for the fleet.
type Role string

// The roles of nodes. A node with several counts as the first of them here.
const (
	Leader      Role = "leader"
	Voter       Role = "voter"
	Standby     Role = "standby"
	Coordinator Role = "home" // keeps the directory of its zone
	Router      Role = "router"
)

// Roles lists them all.
func Roles() []Role { return []Role{Leader, Voter, Standby, Coordinator, Router} }

// UnknownRoleError says that there is no role of that name.
type UnknownRoleError struct {
	Role  Role
	Known []Role
}

func (err UnknownRoleError) Error() string {
	return fmt.Sprintf("there is no role %q; known are %v", err.Role, err.Known)
}

// Rules are what a fleet promises and how its engines are known.
type Rules string

const (
	// Strict rules are the defaults of a node: three voters, leases that lapse, a yes by a
	// majority of the routers, and engines whose reports are heard at a node of their zone.
	Strict Rules = "strict"
	// Deployment rules are those that server.Deployment sets: see its node. Its engines
	// register themselves, each time at any node.
	Deployment Rules = "deployment"
)

// UnknownRulesError says that there are no rules of that name.
type UnknownRulesError struct{ Rules Rules }

func (err UnknownRulesError) Error() string {
	return fmt.Sprintf("there are no rules %q; known are %q and %q", err.Rules, Strict, Deployment)
}

// OutOfBoundsError says that a size is not one that the rig or the machine can take.
type OutOfBoundsError struct {
	What      string
	Asked     int64
	Low, High int64
}

func (err OutOfBoundsError) Error() string {
	return fmt.Sprintf("%s: %d is not from %d to %d", err.What, err.Asked, err.Low, err.High)
}

// TimeLimitError says that a run was stopped by its bound of wall time.
type TimeLimitError struct {
	Step  string
	Bound kernel.Micros
}

func (err TimeLimitError) Error() string {
	return fmt.Sprintf("stopped in %q after %d us of wall time", err.Step, err.Bound)
}

// UnsettledError says that the fleet did not come to rest in the virtual time it was given.
type UnsettledError struct {
	Step string
	Span kernel.Micros
	Why  string
}

func (err UnsettledError) Error() string {
	return fmt.Sprintf("%s: not settled after %d us: %s", err.Step, err.Span, err.Why)
}

// Sizes are those of a measured fleet and of what it is put through.
type Sizes struct {
	Nodes    int `json:"nodes"`   // routers and control machines together
	Control  int `json:"control"` // of them, machines with a controller and a disk that don't route
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
	Engines  int `json:"engines"`
	Routes   int `json:"routes"`
	Prefixes int `json:"prefixes"`
	Sessions int `json:"sessions"` // requests that one router holds open
	Tenants  int `json:"tenants"`  // kinds that routes are told apart by

	Rules   Rules         `json:"rules"`
	Report  kernel.Micros `json:"report_us"`   // between an engine's reports
	Changes int           `json:"changes_1e3"` // orders in a thousand seconds
	Span    kernel.Micros `json:"span_us"`     // virtual time that is measured
	// Restart is the share of routers that are restarted at once, in percent.
	Restart int           `json:"restart_percent"`
	Cut     kernel.Micros `json:"cut_us"` // for how long the last region is cut off
	Roles   []Role        `json:"roles"`  // whose memory is taken apart

	Wall     kernel.Micros `json:"wall_us"`   // bound of the whole run
	MemoryMB int           `json:"memory_mb"` // bound of the process

	isPart bool // a part of one process is measured: the nodes are only named
}

// DefaultSizes are small.
func DefaultSizes() Sizes {
	return Sizes{
		Nodes: 32, Engines: 64, Routes: 100, Prefixes: 1000, Sessions: 100, Tenants: 16,
		Rules: Strict, Report: sec, Span: 5 * sec, Roles: Roles(), Wall: 240 * sec, MemoryMB: 1536,
	}
}

// WithDefaults derives what was left open from the number of nodes: as the plan has them, 14
// control machines, 24 zones and 7 regions to 410 nodes. There are as many control machines
// that one of them is a standby.
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

// What a measured node and its parts take, by heap profiles; only to refuse
// before anything starts what would not fit, so rather too much than too little.
const (
	nodeBytes   = 600 << 10
	engineBytes = 1200
	peerBytes   = 800
	routeBytes  = 1200
)

// RequiredMemory is the memory that a run is taken to need.
func (s Sizes) RequiredMemory() int64 {
	nodes, engines := int64(s.Nodes), int64(s.Engines)
	if s.isPart {
		nodes = 1
	}
	return nodes*(nodeBytes+engines*engineBytes+nodes*peerBytes+int64(s.Routes)*routeBytes) + int64(s.Sessions)*4096
}

// Check rejects what the rig or the machine can't take, with the bound.
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

// halfOfMemory is what the machine's users leave to a rig, in megabytes.
func halfOfMemory() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, fmt.Errorf("ask for the machine's memory: %w", err)
	}
	return int64(info.Totalram) * int64(info.Unit) / 2 / mib, nil
}
