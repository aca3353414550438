package main

import "slices"

// Section is the list of a scenario to which an event belongs.
type Section int

const (
	// SectionFaults holds unplanned faults.
	SectionFaults Section = iota
	// SectionPlan holds planned work: configuration changes, restarts, releases.
	SectionPlan
)

// Target is what an event affects.
type Target int

const (
	// TargetNone is the whole system; the event names no target.
	TargetNone Target = iota
	// TargetCore is a core machine; the event names no class of machines.
	TargetCore
	// TargetMachine is a share of all machines, or a number of core machines.
	TargetMachine
	// TargetServer is servers of one service.
	TargetServer
	// TargetTraffic is the traffic of one class of requests.
	TargetTraffic
)

// Range is an interval from which a value is drawn. The zero Range omits the field.
type Range struct {
	Low, High float64
}

// Kind describes a kind of event: its variants and the ranges of its values.
type Kind struct {
	Name           string
	Section        Section
	Target         Target
	Variants       []string // mutually exclusive values of `how`; "" is the default
	SelectsMachine bool     // `how` may select the machine and what happens after its return
	IsPartition    bool     // `how` may select whether connections are reset or refused
	Contract       string   // contract that has to be enabled on the site; "" for none
	Count          Range
	Share          Range
	Strength       Range
	Duration       Range
	Gap            Range
}

// Values of `how` and of the kind of a final fault. `how` may combine a kind's variant with selectors, follow-ups,
// modes and scopes.
var (
	machineSelectors   = []string{"leader", "reader", "seed"}
	followUps          = []string{"meet", "race", "hard", "drain"}
	partitionModes     = []string{"reset", "refuse"}
	serverScopes       = []string{"across", "all"}
	noVariant          = []string{""}
	finalFaultKinds    = []string{"power_off_all", "wipe_after_ack", "kill_all"}
	finalFaultVariants = []string{"", "timed", "taken", "aimed"}
	configVariants     = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
	invalidConfigs     = []string{
		"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
		"old_version", "same_version", "stale_match", "shared_key",
	}
	greyVariants = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}
)

// Contracts that some kinds require.
const (
	contractHealth = "health"
	contractPool   = "pool"
)

// Ranges that several kinds share.
var (
	shortOutage   = Range{0.3, 6}
	longOutage    = Range{2, 8}
	smallShare    = Range{0.1, 0.3}
	halfShare     = Range{0.3, 0.6}
	singleMachine = Range{1, 1}
	stepGap       = Range{0.5, 2}
	singleStep    = Range{1, 1}
	lostAnswers   = Range{0.01, 0.06}
	changeCounts  = Range{1, 5}
)

// Kinds lists all kinds of events. Its order affects which kinds a seed draws.
var Kinds = slices.Concat(trafficKinds, serverKinds, machineKinds, coreKinds, diskKinds, configKinds)

var trafficKinds = []Kind{
	{Name: "burst", Target: TargetTraffic, Variants: noVariant, Strength: Range{1.3, 2.5}, Duration: longOutage},
	{Name: "hot_key", Target: TargetTraffic, Variants: noVariant, Share: Range{0.15, 0.3}, Duration: longOutage},
	{Name: "retry_abuse", Variants: noVariant, Share: smallShare, Strength: Range{1, 3}, Duration: longOutage},
}

var serverKinds = []Kind{
	{Name: "srv_crash", Target: TargetServer, Variants: []string{"", "dark", "gone"}, Share: smallShare, Duration: longOutage},
	{Name: "srv_slow", Target: TargetServer, Variants: noVariant, Share: smallShare, Strength: Range{2, 6}, Duration: longOutage},
	{Name: "srv_grey", Target: TargetServer, Variants: greyVariants, Share: smallShare, Strength: Range{0.3, 0.5}, Duration: longOutage},
	{Name: "srv_lying_health", Target: TargetServer, Variants: []string{"errors", "hang", "reset", "bad"}, Contract: contractHealth, Share: smallShare, Duration: longOutage},
	{Name: "srv_flap", Target: TargetServer, Variants: noVariant, Contract: contractHealth, Share: smallShare, Duration: longOutage, Gap: stepGap},
	{Name: "release", Section: SectionPlan, Target: TargetServer, Variants: noVariant, Share: halfShare, Strength: Range{1, 3}, Gap: stepGap},
	{Name: "replace_with_reuse", Target: TargetServer, Variants: []string{"", "drain", "dark"}, Share: smallShare},
	{Name: "scale_out", Section: SectionPlan, Target: TargetServer, Variants: noVariant, Share: smallShare, Gap: stepGap},
	{Name: "scale_in", Section: SectionPlan, Target: TargetServer, Variants: []string{"", "spot"}, Share: smallShare, Strength: Range{1, 3}},
	{Name: "answer_lost", Target: TargetServer, Variants: []string{"", "reset"}, Share: halfShare, Strength: lostAnswers, Duration: longOutage},
	{Name: "garble", Target: TargetServer, Variants: []string{"", "extra", "extra late"}, Share: halfShare, Strength: lostAnswers, Duration: longOutage},
	{Name: "idle_race", Target: TargetServer, Variants: noVariant, Contract: contractPool, Share: halfShare, Strength: Range{100, 500}, Duration: longOutage},
}

var machineKinds = []Kind{
	{Name: "node_kill", Target: TargetMachine, Variants: []string{"", "power"}, SelectsMachine: true, Share: smallShare, Duration: shortOutage},
	{Name: "node_freeze", Target: TargetMachine, Variants: noVariant, SelectsMachine: true, Share: smallShare, Duration: shortOutage},
	{Name: "node_slow", Target: TargetMachine, Variants: noVariant, SelectsMachine: true, Share: smallShare, Strength: Range{3, 8}, Duration: longOutage},
	{Name: "node_cut", Target: TargetMachine, Variants: []string{"", "servers"}, IsPartition: true, Share: smallShare, Duration: longOutage},
	{Name: "herd_kill", Target: TargetMachine, Variants: []string{"", "power", "taken"}, Share: halfShare, Duration: Range{0.5, 3}},
	{Name: "reset_conns", Target: TargetMachine, Variants: noVariant, Share: smallShare, Strength: Range{0.2, 1}, Duration: longOutage},
	{Name: "roll_term", Section: SectionPlan, Target: TargetMachine, Variants: []string{"", "remove", "busy"}, Share: Range{0.3, 1}, Strength: singleStep, Gap: stepGap},
	{Name: "hup", Section: SectionPlan, Target: TargetMachine, Variants: noVariant, Share: Range{0.3, 0.8}, Gap: stepGap},
	{Name: "clock_step", Variants: []string{"back", "ahead"}, Share: halfShare, Strength: Range{500, 4000}, Duration: longOutage},
}

var coreKinds = []Kind{
	{Name: "core_cut", Target: TargetCore, Variants: []string{"", "one_way", "seeds", "both"}, SelectsMachine: true, IsPartition: true, Count: singleMachine, Duration: Range{1, 8}},
	{Name: "replace_core", Target: TargetCore, Variants: []string{"", "planned"}, SelectsMachine: true, Strength: Range{0.5, 3}},
	{Name: "after_ack_kill", Target: TargetCore, Variants: []string{"", "kill", "timed", "taken"}, Count: singleMachine, Duration: Range{0.5, 4}},
	{Name: "after_ack_wipe", Target: TargetCore, Variants: []string{"", "timed", "taken"}, Duration: Range{0.5, 4}},
	{Name: "seed_turnover", Section: SectionPlan, Variants: noVariant},
}

var diskKinds = []Kind{
	{Name: "disk_slow", Target: TargetCore, Variants: noVariant, SelectsMachine: true, Count: singleMachine, Strength: Range{10, 50}, Duration: longOutage},
	{Name: "disk_full", Target: TargetCore, Variants: noVariant, SelectsMachine: true, Count: singleMachine, Duration: longOutage},
	{Name: "disk_stall", Target: TargetCore, Variants: noVariant, SelectsMachine: true, Count: singleMachine, Duration: longOutage},
}

var configKinds = []Kind{
	{Name: "config_change", Section: SectionPlan, Variants: configVariants},
	{Name: "config_storm", Section: SectionPlan, Variants: noVariant, Count: Range{10, 40}, Gap: Range{0.08, 0.4}},
	{Name: "config_race", Section: SectionPlan, Variants: noVariant, Count: changeCounts, Gap: stepGap},
	{Name: "bad_config", Section: SectionPlan, Variants: invalidConfigs, Count: changeCounts, Gap: stepGap},
	{Name: "ack_lost", Variants: noVariant, Strength: Range{0.3, 0.9}, Duration: Range{3, 15}},
}

// kindNamed returns the kind with the given name and reports whether it exists.
func kindNamed(name string) (Kind, bool) {
	index := slices.IndexFunc(Kinds, func(kind Kind) bool { return kind.Name == name })
	if index < 0 {
		return Kind{}, false
	}
	return Kinds[index], true
}
