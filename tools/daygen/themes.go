package main

// themes maps the name of a theme to the function that draws its entries.
var themes = map[string]func(*builder){
	"start":  startTheme,
	"cut":    cutTheme,
	"race":   raceTheme,
	"repair": repairTheme,
	"storm":  stormTheme,
	"mixed":  mixedTheme,
}

// Lengths of the days of the themes that don't use the site's own length, in seconds.
const (
	startLength  = 20
	cutLength    = 70
	raceLength   = 45
	repairLength = 60
	stormLength  = 80
)

const (
	startWindow        = 2.0  // seconds of traffic that still belong to the start
	startPhase         = 0.05 // seconds in which processes make their first writes
	firstContact       = 1.5  // seconds in which machines find each other for the first time
	quietTail          = 8.0  // seconds at the end of a day in which nothing new begins
	closingProbability = 0.6
	secondProbability  = 0.5
)

// disruptiveKinds take core machines away, slow them or separate them.
var disruptiveKinds = []string{
	"node_kill", "node_freeze", "node_slow", "node_cut", "herd_kill", "reset_conns",
	"core_cut", "replace_core", "after_ack_kill", "after_ack_wipe",
	"disk_slow", "disk_full", "disk_stall", "clock_step", "seed_turnover", "roll_term", "hup",
}

// changeKinds change the configuration, or lose the answers to changes.
var changeKinds = []string{"config_change", "config_race", "bad_config", "ack_lost"}

// restartKinds stop processes, with or without their machine.
var restartKinds = []string{"node_kill", "roll_term", "herd_kill", "after_ack_kill", "node_freeze"}

// diskLossKinds take one core machine or its disk away.
var diskLossKinds = []string{"replace_core", "after_ack_wipe", "after_ack_kill", "node_kill"}

// startTheme strikes core machines while the system starts for the first time. Days
// take the disruptive kinds in turn, and with each round of kinds the zones of the core,
// so that a short series holds each of them.
func startTheme(b *builder) {
	b.length = startLength
	whileStarting := b.startTimes()
	turn := disruptiveKinds[b.index%len(disruptiveKinds)]
	b.add(whileStarting, b.inNextCoreZone, turn)
	for b.chance(secondProbability) {
		b.add(whileStarting, b.onCore, disruptiveKinds...)
	}
	if b.chance(secondProbability) {
		b.add(whileStarting, nil, changeKinds...)
	}
	b.add(Range{3, 6}, nil, "config_change")
	b.maybeClose()
	if b.chance(secondProbability) {
		b.loseCoreDuringStart()
	}
}

// loseCoreDuringStart takes the power of core machines, or of all of them, before
// their first writes are on disk, and once more soon after they are back.
func (b *builder) loseCoreDuringStart() {
	begin := -b.site.LeadSeconds
	end := b.add(Range{begin, begin + startPhase}, b.losePower, "node_kill", "herd_kill")
	if b.chance(secondProbability) {
		b.add(Range{end, end + firstContact}, b.losePower, "node_kill", "herd_kill")
	}
}

// losePower makes an entry a short loss of power of core machines.
func (b *builder) losePower(fault *Fault) {
	fault.On, fault.Zone, fault.Share, fault.How = "core", "", 0, "power"
	fault.Duration = b.within(Range{0.3, 1})
	fault.Count = 0
	if fault.Kind == "node_kill" {
		fault.Count = b.whole(Range{1, float64(len(b.site.CoreZones()))})
	}
}

// inNextCoreZone makes an entry strike the core machine of the zone whose turn it is,
// unless `how` already selects the machine.
func (b *builder) inNextCoreZone(fault *Fault) {
	b.onCore(fault)
	kind, _ := kindNamed(fault.Kind)
	strikesCore := kind.Target == TargetCore || fault.On == "core"
	if !strikesCore || containsAny(fault.How, selectorArguments) {
		return
	}
	zones := b.site.CoreZones()
	round := b.index / len(disruptiveKinds)
	fault.Zone = zones[round%len(zones)]
}

// startTimes returns the whole span of the first start, or its first moments only.
func (b *builder) startTimes() Range {
	begin := -b.site.LeadSeconds
	if b.chance(secondProbability) {
		return Range{begin, begin + firstContact}
	}
	return Range{begin, startWindow}
}

// onCore makes an entry that would strike a share of all machines strike the core.
func (b *builder) onCore(fault *Fault) {
	kind, _ := kindNamed(fault.Kind)
	if kind.Target == TargetMachine && kind.Section == SectionFaults && fault.On == "" {
		b.placeOnCore(fault)
	}
}

// cutTheme separates a core machine for some twenty seconds, with changes, restarts and
// trouble on disks meanwhile.
func cutTheme(b *builder) {
	b.length = cutLength
	b.add(Range{1, 3}, nil, "config_change")
	for _, start := range []float64{6, 36} {
		b.longCut(start)
		if !b.chance(secondProbability) {
			break
		}
	}
	b.maybeClose()
}

// longCut adds a cut that begins about the given time, and what happens during it.
func (b *builder) longCut(start float64) {
	lasting := func(fault *Fault) { fault.Duration = b.within(Range{18, 22}) }
	end := b.add(Range{start, start + 4}, lasting, "core_cut")
	during := Range{start + 1, end}
	for range 1 + b.random.IntN(3) {
		b.add(during, nil, changeKinds...)
	}
	if b.chance(secondProbability) {
		b.add(during, nil, "disk_stall", "disk_full", "disk_slow")
	}
	for b.chance(secondProbability) {
		b.add(Range{start, end + 2}, b.onCore, "node_kill", "node_freeze", "core_cut", "seed_turnover", "roll_term", "clock_step")
	}
	b.add(Range{end - 0.2, end + 1}, nil, "config_change", "config_race")
}

// raceTheme sends competing and repeated changes while the leader changes.
func raceTheme(b *builder) {
	b.length = raceLength
	last := b.length - quietTail
	for range 2 + b.random.IntN(3) {
		b.add(Range{0.5, last}, b.rapidly, "config_race")
	}
	for range 1 + b.random.IntN(2) {
		b.add(Range{-1, last}, nil, "ack_lost")
	}
	b.add(Range{0.5, last}, nil, "config_storm", "bad_config")
	for range 2 + b.random.IntN(4) {
		b.add(Range{1, last}, b.concurrentChanges, "node_kill", "node_freeze", "core_cut", "after_ack_kill", "roll_term", "disk_stall", "replace_core")
	}
	b.maybeClose()
}

// rapidly makes a series of changes longer and faster.
func (b *builder) rapidly(fault *Fault) {
	fault.Count = b.whole(Range{3, 8})
	fault.Gap = b.within(Range{0.3, 1.5})
}

// concurrentChanges aims an entry at the leader, with two competing changes after its return.
func (b *builder) concurrentChanges(fault *Fault) {
	kind, _ := kindNamed(fault.Kind)
	if !kind.HasTarget || !b.chance(secondProbability) {
		return
	}
	fault.How = "leader race"
	fault.Zone = ""
	if kind.Target == TargetMachine {
		fault.On = "core"
		fault.Share = 0
		fault.Count = 1
	}
}

// repairTheme takes core machines away one after the other. Each loss follows as soon
// as the machine before counts as repaired.
func repairTheme(b *builder) {
	b.length = repairLength
	b.add(Range{0.5, 2}, nil, "config_change")
	at := 3 + b.within(Range{0, 3})
	for at < b.length-quietTail {
		end := b.add(Range{at, at + 0.3}, b.onCore, diskLossKinds...)
		if b.chance(secondProbability) {
			b.add(Range{at - 0.5, end + 1}, nil, changeKinds...)
		}
		at = end + b.site.Timing.CatchUpSeconds + b.within(Range{0, 0.8})
	}
	if b.chance(secondProbability) {
		b.add(Range{0, b.length / 2}, nil, "seed_turnover", "roll_term", "scale_out")
	}
	b.maybeClose()
}

// stormTheme makes hundreds of changes, with restarts meanwhile and afterwards.
func stormTheme(b *builder) {
	b.length = stormLength
	end := b.add(Range{0.5, 2}, b.manyChanges, "config_storm")
	b.add(Range{2, end}, b.onCore, restartKinds...)
	for b.chance(secondProbability) {
		b.add(Range{2, end + 5}, b.onCore, restartKinds...)
	}
	for range 1 + b.random.IntN(3) {
		b.add(Range{end, b.length - quietTail}, b.onCore, "node_kill", "roll_term", "core_cut", "replace_core", "after_ack_wipe", "disk_slow", "disk_full")
	}
	b.add(Range{end + 1, b.length - quietTail}, nil, changeKinds...)
	b.maybeClose()
}

// manyChanges makes a storm of hundreds of changes.
func (b *builder) manyChanges(fault *Fault) {
	fault.Count = b.whole(Range{150, 400})
	fault.Gap = b.within(Range{0.08, 0.12})
}

// mixedTheme draws any kinds at any time, the first start included.
func mixedTheme(b *builder) {
	anyTime := Range{-b.site.LeadSeconds, b.length - quietTail}
	for range 4 + b.random.IntN(8) {
		b.addKind(pick(b.random, b.kinds), anyTime, nil)
	}
	b.add(Range{1, b.length - quietTail}, nil, "config_change")
	b.maybeClose()
}

// maybeClose ends most days with a closing fault.
func (b *builder) maybeClose() {
	if b.chance(closingProbability) {
		b.day.Closing = b.closing()
	}
}
