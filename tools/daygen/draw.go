package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Probabilities of the optional parts of an event.
const (
	coreProbability            = 0.5
	machineSelectorProbability = 0.5
	followUpProbability        = 0.25
	partitionModeProbability   = 0.5
	zoneProbability            = 0.5
	serverScopeProbability     = 0.2
	oneZoneProbability         = 0.3
)

// stepsPerUnit is the resolution of generated numbers: hundredths.
const stepsPerUnit = 100

// sampler draws the events of one scenario from the scenario's own random number generator.
type sampler struct {
	random *rand.Rand
	site   Site
	length float64 // duration of the traffic in seconds
}

// pick returns a random element of choices.
func pick[T any](random *rand.Rand, choices []T) T {
	return choices[random.IntN(len(choices))]
}

// chance returns true with the given probability.
func (s *sampler) chance(probability float64) bool {
	return s.random.Float64() < probability
}

// number returns a random number in the range, rounded to the resolution.
func (s *sampler) number(r Range) float64 {
	value := r.Low + s.random.Float64()*(r.High-r.Low)
	return math.Round(value*stepsPerUnit) / stepsPerUnit
}

// integer returns a random integer in the range, including both ends.
func (s *sampler) integer(r Range) int {
	return int(r.Low) + s.random.IntN(int(r.High-r.Low)+1)
}

// event draws an event of the kind that begins within the given times. It shortens an event that would outlast the
// scenario.
func (s *sampler) event(kind Kind, times Range) Event {
	drawn := Event{
		Kind:     kind.Name,
		Share:    s.number(kind.Share),
		Strength: s.number(kind.Strength),
		Duration: s.number(kind.Duration),
		Gap:      s.number(kind.Gap),
		Count:    s.integer(kind.Count),
		How:      s.arguments(kind),
	}
	s.setTarget(kind, &drawn)
	drawn.At = s.number(times)
	s.clamp(&drawn)
	return drawn
}

// clamp moves and shortens an event so that it lies within the scenario.
func (s *sampler) clamp(event *Event) {
	event.At = min(max(event.At, -s.site.LeadSeconds), s.length)
	remaining := s.length - event.At
	event.Duration = roundDown(min(event.Duration, remaining))
	if event.Count > 1 && event.Gap > 0 {
		steps := int(remaining / event.Gap)
		event.Count = min(event.Count, steps+1)
	}
}

// roundDown rounds a number down to the resolution.
func roundDown(value float64) float64 {
	const tolerance = 1e-9 // leaves a number unchanged that is already rounded
	return math.Floor(value*stepsPerUnit+tolerance) / stepsPerUnit
}

// setTarget draws what an event affects.
func (s *sampler) setTarget(kind Kind, event *Event) {
	switch kind.Target {
	case TargetCore:
		s.maybeSetCoreZone(event)
	case TargetMachine:
		if s.chance(coreProbability) {
			s.targetCoreMachine(event)
		}
	case TargetServer:
		event.Service = pick(s.random, s.site.Services).Name
		if strings.Contains(event.How, "one_zone") {
			event.ToZone = pick(s.random, s.site.CoreZones())
		}
	case TargetTraffic:
		event.Class = pick(s.random, s.site.Classes).Name
	}
}

// targetCoreMachine makes an event affect one core machine instead of a share of all machines.
func (s *sampler) targetCoreMachine(event *Event) {
	event.On = "core"
	event.Share = 0
	event.Count = 1
	s.maybeSetCoreZone(event)
}

// maybeSetCoreZone randomly restricts an event to a zone, unless `how` already selects the machine.
func (s *sampler) maybeSetCoreZone(event *Event) {
	if !containsAny(event.How, machineSelectors) && s.chance(zoneProbability) {
		event.Zone = pick(s.random, s.site.CoreZones())
	}
}

// containsAny reports whether how contains at least one of the words.
func containsAny(how string, words []string) bool {
	return slices.ContainsFunc(strings.Fields(how), func(word string) bool { return slices.Contains(words, word) })
}

// arguments draws the words of the field `how`.
func (s *sampler) arguments(kind Kind) string {
	words := []string{pick(s.random, kind.Variants)}
	if kind.IsPartition && s.chance(partitionModeProbability) {
		words = append(words, pick(s.random, partitionModes))
	}
	if kind.SelectsMachine {
		words = append(words, s.machineArguments()...)
	}
	if strings.HasPrefix(kind.Name, "srv_") && s.chance(serverScopeProbability) {
		words = append(words, pick(s.random, serverScopes))
	}
	if kind.Name == "srv_grey" && s.chance(oneZoneProbability) {
		words = append(words, "one_zone")
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// machineArguments draws which machine is selected and what happens after its return.
func (s *sampler) machineArguments() []string {
	var words []string
	if s.chance(machineSelectorProbability) {
		words = append(words, pick(s.random, machineSelectors))
	}
	for _, word := range followUps {
		if s.chance(followUpProbability) {
			words = append(words, word)
		}
	}
	return words
}

// finalFault draws the fault that ends the scenario.
func (s *sampler) finalFault() *FinalFault {
	return &FinalFault{
		Kind:        pick(s.random, finalFaultKinds),
		DownSeconds: s.number(Range{0.3, 2}),
		How:         pick(s.random, finalFaultVariants),
	}
}
