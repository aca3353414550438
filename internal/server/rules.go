package server

import (
	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// ConsistencySettings are the settings that change the consistency guarantees of the fleet. The defaults are the strictest.
type ConsistencySettings struct {
	Voters                   int    `arg:"--voters" json:"voters" help:"minimum target number of voters, raised as members join; 0: always three"`
	ServeExtensionUS         int64  `arg:"--serve-on-us" json:"serve_on_us" help:"how long a router may serve after its last grant from the core, if longer than a lease; -1: without limit"`
	Acknowledgements         string `arg:"--acknowledgements" json:"acknowledgements" help:"strict: needs a majority of the routers; spread: waits for all connected routers, up to spread-wait-us"`
	DisseminationTimeoutUS   int64  `arg:"--spread-wait-us" json:"spread_wait_us" help:"how long a spread acknowledgement waits for routers"`
	SubmitTimeoutUS          int64  `arg:"--submit-try-us" json:"submit_try_us" help:"how long a submission is retried"`
	IsAbortDisabled          bool   `arg:"--no-fence" json:"no_fence" help:"leave the outcome of an unacknowledged submission unproved instead of aborting it, since it is sent again"`
	BootstrapMembers         string `arg:"--founders" json:"founders" help:"bootstrap members. seeds: the three seeds; announce: members with a data folder announce themselves to the seeds"`
	Bootstrap                bool   `arg:"--bootstrap" json:"bootstrap" help:"with founders set to announce: this is the first start of the whole fleet"`
	EngineHeartbeatTimeoutUS int64  `arg:"--engine-gone-us" json:"engine_gone_us" help:"silence after which an engine that registers itself counts as crashed; 0: never"`
}

// unlimitedUS is the value of serve_on_us that lets a router serve without a time limit.
const unlimitedUS = -1

func defaultConsistency() ConsistencySettings {
	return ConsistencySettings{Acknowledgements: "strict", DisseminationTimeoutUS: int64(600 * kernel.Millisecond), SubmitTimeoutUS: int64(6 * kernel.Second), BootstrapMembers: "seeds"}
}

// Apply copies the settings to a node's settings.
func (r ConsistencySettings) Apply(node *control.NodeSettings) {
	node.Voters, node.ServeExtension, node.IsAbortDisabled, node.IsBootstrap = r.Voters, kernel.Micros(r.ServeExtensionUS), r.IsAbortDisabled, r.Bootstrap
	if r.ServeExtensionUS == unlimitedUS {
		node.ServeExtension = cluster.ServeWithoutLimit
	}
	node.DisseminationTimeout, node.SubmitTimeout = kernel.Micros(r.DisseminationTimeoutUS), kernel.Micros(r.SubmitTimeoutUS)
	if r.Acknowledgements == "spread" {
		node.AckRule = control.Disseminated
	}
	if r.BootstrapMembers == "announce" {
		node.BootstrapRule = control.BootstrapByAnnounce
	}
	node.Timing.EngineHeartbeatTimeout = kernel.Micros(r.EngineHeartbeatTimeoutUS)
}

func (r ConsistencySettings) check(faults *fleetconfig.InvalidConfigError) {
	fleetconfig.CheckRange(faults, "voters", r.Voters, 0, 9)
	if r.Acknowledgements != "strict" && r.Acknowledgements != "spread" {
		faults.Add("acknowledgements", "%q is neither strict nor spread", r.Acknowledgements)
	}
	if r.BootstrapMembers != "seeds" && r.BootstrapMembers != "announce" {
		faults.Add("founders", "%q is neither seeds nor announce", r.BootstrapMembers)
	}
	if r.Bootstrap && r.BootstrapMembers != "announce" {
		faults.Add("bootstrap", "is only valid with founders set to announce")
	}
	fleetconfig.CheckRange(faults, "serve_on_us", r.ServeExtensionUS, unlimitedUS, 3_600_000_000)
	fleetconfig.CheckRange(faults, "spread_wait_us", r.DisseminationTimeoutUS, 50_000, 10_000_000)
	fleetconfig.CheckRange(faults, "submit_try_us", r.SubmitTimeoutUS, 200_000, 60_000_000)
	fleetconfig.CheckRange(faults, "engine_gone_us", r.EngineHeartbeatTimeoutUS, 0, 600_000_000)
}
