package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Probabilities with which optional parts of an entry are drawn.
const (
	coreProbability     = 0.5
	selectorProbability = 0.5
	followUpProbability = 0.25
	severingProbability = 0.5
	zoneProbability     = 0.5
	serverProbability   = 0.2
	oneZoneProbability  = 0.3
)

// stepsPerUnit is the resolution of drawn numbers: hundredths.
const stepsPerUnit = 100

// drawer draws the entries of one day from the day's own source of random numbers.
type drawer struct {
	random *rand.Rand
	site   Site
	length float64 // seconds of traffic
}

// pick returns one of the choices.
func pick[T any](random *rand.Rand, choices []T) T {
	return choices[random.IntN(len(choices))]
}

// chance reports true with the given probability.
func (d *drawer) chance(probability float64) bool {
	return d.random.Float64() < probability
}

// within returns a number of the range, rounded to the resolution.
func (d *drawer) within(r Range) float64 {
	value := r.Low + d.random.Float64()*(r.High-r.Low)
	return math.Round(value*stepsPerUnit) / stepsPerUnit
}

// whole returns a whole number of the range, both ends included.
func (d *drawer) whole(r Range) int {
	return int(r.Low) + d.random.IntN(int(r.High-r.Low)+1)
}

// fault draws an entry of the kind that begins within the given times. The entry is
// shortened where it would last beyond the day.
func (d *drawer) fault(kind Kind, times Range) Fault {
	drawn := Fault{
		Kind:     kind.Name,
		Share:    d.within(kind.Share),
		Strength: d.within(kind.Strength),
		Duration: d.within(kind.Duration),
		Gap:      d.within(kind.Gap),
		Count:    d.whole(kind.Count),
		How:      d.how(kind),
	}
	d.place(kind, &drawn)
	drawn.At = d.within(times)
	d.fit(&drawn)
	return drawn
}

// fit moves and shortens an entry so that it lies inside the day.
func (d *drawer) fit(fault *Fault) {
	fault.At = min(max(fault.At, -d.site.LeadSeconds), d.length)
	remaining := d.length - fault.At
	fault.Duration = roundDown(min(fault.Duration, remaining))
	if fault.Count > 1 && fault.Gap > 0 {
		steps := int(remaining / fault.Gap)
		fault.Count = min(fault.Count, steps+1)
	}
}

// roundDown rounds a number down to the resolution.
func roundDown(value float64) float64 {
	const tolerance = 1e-9 // keeps a number that is already rounded
	return math.Floor(value*stepsPerUnit+tolerance) / stepsPerUnit
}

// place draws where an entry strikes.
func (d *drawer) place(kind Kind, fault *Fault) {
	switch kind.Target {
	case TargetCore:
		d.placeInCoreZone(fault)
	case TargetMachine:
		if d.chance(coreProbability) {
			d.placeOnCore(fault)
		}
	case TargetServer:
		fault.Service = pick(d.random, d.site.Services).Name
		if strings.Contains(fault.How, "one_zone") {
			fault.ToZone = pick(d.random, d.site.CoreZones())
		}
	case TargetTraffic:
		fault.Class = pick(d.random, d.site.Classes).Name
	}
}

// placeOnCore makes an entry strike one core machine in place of a share of all.
func (d *drawer) placeOnCore(fault *Fault) {
	fault.On = "core"
	fault.Share = 0
	fault.Count = 1
	d.placeInCoreZone(fault)
}

// placeInCoreZone sometimes names a zone, unless `how` already selects the machine.
func (d *drawer) placeInCoreZone(fault *Fault) {
	if !containsAny(fault.How, selectorArguments) && d.chance(zoneProbability) {
		fault.Zone = pick(d.random, d.site.CoreZones())
	}
}

// containsAny reports whether one of the words stands in how.
func containsAny(how string, words []string) bool {
	return slices.ContainsFunc(strings.Fields(how), func(word string) bool { return slices.Contains(words, word) })
}

// how draws the words of the field `how`.
func (d *drawer) how(kind Kind) string {
	words := []string{pick(d.random, kind.Variants)}
	if kind.Severing && d.chance(severingProbability) {
		words = append(words, pick(d.random, severingArguments))
	}
	if kind.HasTarget {
		words = append(words, d.drawTarget()...)
	}
	if strings.HasPrefix(kind.Name, "srv_") && d.chance(serverProbability) {
		words = append(words, pick(d.random, serverArguments))
	}
	if kind.Name == "srv_grey" && d.chance(oneZoneProbability) {
		words = append(words, "one_zone")
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// drawTarget draws which machine is selected and what follows its return.
func (d *drawer) drawTarget() []string {
	var words []string
	if d.chance(selectorProbability) {
		words = append(words, pick(d.random, selectorArguments))
	}
	for _, word := range followUpArguments {
		if d.chance(followUpProbability) {
			words = append(words, word)
		}
	}
	return words
}

// closing draws the fault that ends the day.
func (d *drawer) closing() *Closing {
	return &Closing{
		Kind:        pick(d.random, closingKinds),
		DownSeconds: d.within(Range{0.3, 2}),
		How:         pick(d.random, closingHows),
	}
}
