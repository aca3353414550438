package main

import (
	"maps"
	"math"
)

// themes maps the name of a theme to the function that draws its events.
var themes = map[string]func(*builder){
	"start":  startTheme,
	"cut":    cutTheme,
	"race":   raceTheme,
	"repair": repairTheme,
	"storm":  stormTheme,
	"stop":   stopTheme,
	"queue":  queueTheme,
	"mixed":  mixedTheme,
}

// Durations in seconds of the scenarios of themes that don't use the site's own duration.
const (
	startLength  = 20
	cutLength    = 70
	raceLength   = 45
	repairLength = 60
	stormLength  = 80
)

const (
	startEnd                 = 2.0  // seconds of traffic that count as part of the first start
	firstWritesSpan          = 0.05 // seconds in which processes make their first writes
	discoverySpan            = 1.5  // seconds in which machines discover each other
	quietTail                = 8.0  // seconds at the end of a scenario in which no event begins
	finalFaultProbability    = 0.6
	optionalEventProbability = 0.5
)

// disruptiveKinds stop, slow down or partition core machines.
var disruptiveKinds = []string{
	"node_kill", "node_freeze", "node_slow", "node_cut", "herd_kill", "reset_conns",
	"core_cut", "replace_core", "after_ack_kill", "after_ack_wipe",
	"disk_slow", "disk_full", "disk_stall", "clock_step", "seed_turnover", "roll_term", "hup",
}

// changeKinds change the configuration, or lose the responses to changes.
var changeKinds = []string{"config_change", "config_race", "bad_config", "ack_lost"}

// restartKinds stop or pause processes, with or without their machine.
var restartKinds = []string{"node_kill", "roll_term", "herd_kill", "after_ack_kill", "node_freeze"}

// diskLossKinds stop one core machine or wipe its disk.
var diskLossKinds = []string{"replace_core", "after_ack_wipe", "after_ack_kill", "node_kill"}

// startTheme injects faults into core machines while the system starts for the first time. Successive scenarios cycle
// through the disruptive kinds, and after each cycle move to the next zone of the core, so that a short series covers
// all of them.
func startTheme(b *builder) {
	b.length = startLength
	times := b.startTimes()
	kind := disruptiveKinds[b.index%len(disruptiveKinds)]
	b.add(times, b.targetNextCoreZone, kind)
	for b.chance(optionalEventProbability) {
		b.add(times, b.targetCore, disruptiveKinds...)
	}
	if b.chance(optionalEventProbability) {
		b.add(times, nil, changeKinds...)
	}
	b.add(Range{3, 6}, nil, "config_change")
	b.maybeAddFinalFault()
	if b.chance(optionalEventProbability) {
		b.addPowerLossDuringStart()
	}
}

// addPowerLossDuringStart adds a power loss of some or all core machines before their first writes are on disk, and
// sometimes another one soon after they are back.
func (b *builder) addPowerLossDuringStart() {
	begin := -b.site.LeadSeconds
	end := b.add(Range{begin, begin + firstWritesSpan}, b.makeCorePowerLoss, "node_kill", "herd_kill")
	if b.chance(optionalEventProbability) {
		b.add(Range{end, end + discoverySpan}, b.makeCorePowerLoss, "node_kill", "herd_kill")
	}
}

// makeCorePowerLoss turns an event into a short power loss of core machines.
func (b *builder) makeCorePowerLoss(event *Event) {
	event.On, event.Zone, event.Share, event.How = "core", "", 0, "power"
	event.Duration = b.number(Range{0.3, 1})
	event.Count = 0
	if event.Kind == "node_kill" {
		event.Count = b.integer(Range{1, float64(len(b.site.CoreZones()))})
	}
}

// targetNextCoreZone makes an event affect the core machine of the next zone in the cycle, unless `how` already
// selects the machine.
func (b *builder) targetNextCoreZone(event *Event) {
	b.targetCore(event)
	kind, _ := kindNamed(event.Kind)
	affectsCore := kind.Target == TargetCore || event.On == "core"
	if !affectsCore || containsAny(event.How, machineSelectors) {
		return
	}
	zones := b.site.CoreZones()
	round := b.index / len(disruptiveKinds)
	event.Zone = zones[round%len(zones)]
}

// startTimes returns the whole time of the first start, or only the part in which machines discover each other.
func (b *builder) startTimes() Range {
	begin := -b.site.LeadSeconds
	if b.chance(optionalEventProbability) {
		return Range{begin, begin + discoverySpan}
	}
	return Range{begin, startEnd}
}

// targetCore makes an event that would affect a share of all machines affect the core instead.
func (b *builder) targetCore(event *Event) {
	kind, _ := kindNamed(event.Kind)
	if kind.Target == TargetMachine && kind.Section == SectionFaults && event.On == "" {
		b.targetCoreMachine(event)
	}
}

// cutTheme partitions a core machine for about 20 seconds, with changes, restarts and disk faults meanwhile.
func cutTheme(b *builder) {
	b.length = cutLength
	b.add(Range{1, 3}, nil, "config_change")
	for _, start := range []float64{6, 36} {
		b.addLongCut(start)
		if !b.chance(optionalEventProbability) {
			break
		}
	}
	b.maybeAddFinalFault()
}

// addLongCut adds a long partition that begins within 4 seconds after start, and the events during it.
func (b *builder) addLongCut(start float64) {
	setDuration := func(event *Event) { event.Duration = b.number(Range{18, 22}) }
	end := b.add(Range{start, start + 4}, setDuration, "core_cut")
	during := Range{start + 1, end}
	for range 1 + b.random.IntN(3) {
		b.add(during, nil, changeKinds...)
	}
	if b.chance(optionalEventProbability) {
		b.add(during, nil, "disk_stall", "disk_full", "disk_slow")
	}
	for b.chance(optionalEventProbability) {
		b.add(Range{start, end + 2}, b.targetCore, "node_kill", "node_freeze", "core_cut", "seed_turnover", "roll_term", "clock_step")
	}
	b.add(Range{end - 0.2, end + 1}, nil, "config_change", "config_race")
}

// raceTheme submits concurrent and repeated changes while the leader changes.
func raceTheme(b *builder) {
	b.length = raceLength
	last := b.length - quietTail
	for range 2 + b.random.IntN(3) {
		b.add(Range{0.5, last}, b.setRapidSeries, "config_race")
	}
	for range 1 + b.random.IntN(2) {
		b.add(Range{-1, last}, nil, "ack_lost")
	}
	b.add(Range{0.5, last}, nil, "config_storm", "bad_config")
	for range 2 + b.random.IntN(4) {
		b.add(Range{1, last}, b.raceAfterLeaderReturns, "node_kill", "node_freeze", "core_cut", "after_ack_kill", "roll_term", "disk_stall", "replace_core")
	}
	b.maybeAddFinalFault()
}

// setRapidSeries makes a series of changes longer and shortens its intervals.
func (b *builder) setRapidSeries(event *Event) {
	event.Count = b.integer(Range{3, 8})
	event.Gap = b.number(Range{0.3, 1.5})
}

// raceAfterLeaderReturns makes some events affect the leader, with two concurrent changes after its return.
func (b *builder) raceAfterLeaderReturns(event *Event) {
	kind, _ := kindNamed(event.Kind)
	if !kind.SelectsMachine || !b.chance(optionalEventProbability) {
		return
	}
	event.How = "leader race"
	event.Zone = ""
	if kind.Target == TargetMachine {
		event.On = "core"
		event.Share = 0
		event.Count = 1
	}
}

// repairTheme makes core machines fail one after another. Each failure follows as soon as the previous machine counts
// as repaired.
func repairTheme(b *builder) {
	b.length = repairLength
	b.add(Range{0.5, 2}, nil, "config_change")
	at := 3 + b.number(Range{0, 3})
	for at < b.length-quietTail {
		end := b.add(Range{at, at + 0.3}, b.targetCore, diskLossKinds...)
		if b.chance(optionalEventProbability) {
			b.add(Range{at - 0.5, end + 1}, nil, changeKinds...)
		}
		at = end + b.site.Timing.CatchUpSeconds + b.number(Range{0, 0.8})
	}
	if b.chance(optionalEventProbability) {
		b.add(Range{0, b.length / 2}, nil, "seed_turnover", "roll_term", "scale_out")
	}
	b.maybeAddFinalFault()
}

// stormTheme submits hundreds of changes, with restarts meanwhile and afterwards.
func stormTheme(b *builder) {
	b.length = stormLength
	end := b.add(Range{0.5, 2}, b.setLongStorm, "config_storm")
	b.add(Range{2, end}, b.targetCore, restartKinds...)
	for b.chance(optionalEventProbability) {
		b.add(Range{2, end + 5}, b.targetCore, restartKinds...)
	}
	for range 1 + b.random.IntN(3) {
		b.add(Range{end, b.length - quietTail}, b.targetCore, "node_kill", "roll_term", "core_cut", "replace_core", "after_ack_wipe", "disk_slow", "disk_full")
	}
	b.add(Range{end + 1, b.length - quietTail}, nil, changeKinds...)
	b.maybeAddFinalFault()
}

// setLongStorm makes a series of changes hundreds of changes long.
func (b *builder) setLongStorm(event *Event) {
	event.Count = b.integer(Range{150, 400})
	event.Gap = b.number(Range{0.08, 0.12})
}

// The traffic of the themes that replace the site's own.
const (
	longShare        = 0.95 // of the class with the longest deadline, while machines are stopped
	longTrafficScale = 0.5  // of the site's requests, which are mostly shorter
)

// queueTrafficScale is by how much more is sent than usual, so that engines queue requests.
var queueTrafficScale = Range{1.4, 2.4}

// stopTheme stops all machines in turn, several times, while nearly all requests take long, with reloads and changes
// meanwhile. Nothing else disturbs them.
func stopTheme(b *builder) {
	long := b.site.LongestClass().Name
	b.setTraffic(longTrafficScale, func(mix map[string]float64) {
		for class := range mix {
			mix[class] = 1 - longShare
		}
		mix[long] = longShare
	})
	b.length = b.site.LengthSeconds
	stops := b.integer(Range{2, 3})
	for stop := range stops {
		begin := b.length * float64(stop) / float64(stops)
		b.add(Range{begin, begin + 4}, b.stopAllInTurn, "roll_term")
	}
	for b.chance(optionalEventProbability) {
		b.add(Range{1, b.length - quietTail}, nil, "hup", "config_change")
	}
}

// stopAllInTurn makes a series of stops affect all machines, each while it answers requests.
func (b *builder) stopAllInTurn(event *Event) {
	event.Zone, event.On, event.Count = "", "", 0
	event.Share, event.Strength, event.How = 1, float64(b.integer(Range{1, 4})), "busy"
	event.Gap = b.number(Range{0.6, 1.6})
}

// queueTheme sends more than usual, so that engines queue requests and turn some away, with changes all the time. No
// engine or machine is in trouble.
func queueTheme(b *builder) {
	b.length = b.site.LengthSeconds
	b.setTraffic(b.number(queueTrafficScale), func(map[string]float64) {})
	for at := 0.2; at < b.length-quietTail; at += b.number(Range{0.8, 2}) {
		b.add(Range{at, at + 0.1}, nil, "config_change")
	}
}

// setTraffic replaces the site's traffic by scale times as much, with another mix of classes.
func (b *builder) setTraffic(scale float64, mix func(map[string]float64)) {
	for _, usual := range b.site.Traffic {
		changed := usual
		changed.PerSecond = math.Round(usual.PerSecond*scale*stepsPerUnit) / stepsPerUnit
		changed.Mix = maps.Clone(usual.Mix)
		mix(changed.Mix)
		b.scenario.Traffic = append(b.scenario.Traffic, changed)
	}
}

// mixedTheme draws events of all kinds at any time, including during the first start.
func mixedTheme(b *builder) {
	anyTime := Range{-b.site.LeadSeconds, b.length - quietTail}
	for range 4 + b.random.IntN(8) {
		b.addKind(pick(b.random, b.kinds), anyTime, nil)
	}
	b.add(Range{1, b.length - quietTail}, nil, "config_change")
	b.maybeAddFinalFault()
}

// maybeAddFinalFault adds a final fault to most scenarios.
func (b *builder) maybeAddFinalFault() {
	if b.chance(finalFaultProbability) {
		b.scenario.FinalFault = b.finalFault()
	}
}
