package server

import (
	"dunlinloom/internal/control"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Rules are the settings that change what the fleet promises; none set is the strict way.
type Rules struct {
	Voters           int    `arg:"--voters" json:"voters" help:"least number of voters wanted, more as there are members; 0: three, always"`
	ServeOnUS        int64  `arg:"--serve-on-us" json:"serve_on_us" help:"how long a word of the core lasts, if longer than a lease; -1: always"`
	Acknowledgements string `arg:"--acknowledgements" json:"acknowledgements" help:"strict: a yes needs a majority of the routers; spread: all that are heard, or some time"`
	SpreadWaitUS     int64  `arg:"--spread-wait-us" json:"spread_wait_us" help:"how long a yes waits for routers under spread acknowledgements"`
	SubmitTryUS      int64  `arg:"--submit-try-us" json:"submit_try_us" help:"how long an order is tried"`
	NoFence          bool   `arg:"--no-fence" json:"no_fence" help:"leave an order without an acknowledgement unproved, as it is sent again"`
	Founders         string `arg:"--founders" json:"founders" help:"seeds: the three seeds found the fleet; announce: members with a folder announce themselves to the seeds"`
	Bootstrap        bool   `arg:"--bootstrap" json:"bootstrap" help:"with announced founders: this is the first start of the whole fleet"`
	EngineGoneUS     int64  `arg:"--engine-gone-us" json:"engine_gone_us" help:"silence after which an engine that registers itself is dark; 0: never"`
}

const alwaysUS = -1

func defaultRules() Rules {
	return Rules{Acknowledgements: "strict", SpreadWaitUS: int64(600 * kernel.Millisecond), SubmitTryUS: int64(6 * kernel.Second), Founders: "seeds"}
}

// Put writes the rules into what a node is told.
func (r Rules) Put(node *control.NodeSettings) {
	node.Voters, node.ServeOn, node.NoFence, node.Bootstrap = r.Voters, kernel.Micros(r.ServeOnUS), r.NoFence, r.Bootstrap
	if r.ServeOnUS == alwaysUS {
		node.ServeOn = control.ServeOnAlways
	}
	node.SpreadWait, node.SubmitTry = kernel.Micros(r.SpreadWaitUS), kernel.Micros(r.SubmitTryUS)
	if r.Acknowledgements == "spread" {
		node.AckRule = control.Spread
	}
	if r.Founders == "announce" {
		node.Founding = control.FoundersAnnounce
	}
	node.Timing.BeatGone = kernel.Micros(r.EngineGoneUS)
}

func (r Rules) check(faults *fleetconfig.Faults) {
	fleetconfig.CheckRange(faults, "voters", r.Voters, 0, 9)
	if r.Acknowledgements != "strict" && r.Acknowledgements != "spread" {
		faults.Add("acknowledgements", "%q is neither strict nor spread", r.Acknowledgements)
	}
	if r.Founders != "seeds" && r.Founders != "announce" {
		faults.Add("founders", "%q is neither seeds nor announce", r.Founders)
	}
	if r.Bootstrap && r.Founders != "announce" {
		faults.Add("bootstrap", "is only for founders that announce themselves")
	}
	fleetconfig.CheckRange(faults, "serve_on_us", r.ServeOnUS, alwaysUS, 3_600_000_000)
	fleetconfig.CheckRange(faults, "spread_wait_us", r.SpreadWaitUS, 50_000, 10_000_000)
	fleetconfig.CheckRange(faults, "submit_try_us", r.SubmitTryUS, 200_000, 60_000_000)
	fleetconfig.CheckRange(faults, "engine_gone_us", r.EngineGoneUS, 0, 600_000_000)
}
