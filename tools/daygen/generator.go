package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// maxScenarioSeed limits the seed that a scenario passes to the simulation.
const maxScenarioSeed = 1 << 40

// UnknownThemeError reports that no theme has the given name.
type UnknownThemeError struct {
	Theme string
}

func (e *UnknownThemeError) Error() string {
	known := strings.Join(slices.Sorted(maps.Keys(themes)), ", ")
	return fmt.Sprintf("unknown theme %q; known: %s", e.Theme, known)
}

// Generator generates scenarios of one theme for one site. It is safe for concurrent use.
type Generator struct {
	site  Site
	theme string
	kinds []Kind // the kinds that may be drawn
}

// NewGenerator returns a generator of the theme's scenarios. It never draws the kinds named in skip, nor those whose
// contract is not enabled on the site. It returns *UnknownThemeError if the theme doesn't exist.
func NewGenerator(site Site, theme string, skip []string) (*Generator, error) {
	if _, known := themes[theme]; !known {
		return nil, &UnknownThemeError{Theme: theme}
	}
	generator := &Generator{site: site, theme: theme}
	for _, kind := range Kinds {
		inForce := kind.Contract == "" || slices.Contains(site.Contracts, kind.Contract)
		if inForce && !slices.Contains(skip, kind.Name) {
			generator.kinds = append(generator.kinds, kind)
		}
	}
	return generator, nil
}

// Scenario returns the scenario with the given index in the series of a seed. It depends only on the seed and the
// index, not on the scenarios generated before.
func (g *Generator) Scenario(seed uint64, index int) Scenario {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	b := &builder{
		sampler: sampler{random: random, site: g.site, length: g.site.LengthSeconds},
		kinds:   g.kinds,
		index:   index,
	}
	b.scenario.Name = fmt.Sprintf("%s-%d-%03d", g.theme, seed, index)
	b.scenario.Slot = "trouble"
	b.scenario.Seed = random.Int64N(maxScenarioSeed)
	themes[g.theme](b)
	b.scenario.LengthSeconds = b.length
	b.sort()
	return b.scenario
}

// builder collects the events of one scenario.
type builder struct {
	sampler
	kinds    []Kind
	index    int
	scenario Scenario
}

// allowed returns those of the named kinds that may be drawn.
func (b *builder) allowed(names ...string) []Kind {
	var kinds []Kind
	for _, kind := range b.kinds {
		if slices.Contains(names, kind.Name) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// add draws an event of one of the named kinds. If adjust is not nil, it modifies the event before the event is
// clamped to the scenario. add returns the event's end, or the earliest time if none of the kinds may be drawn.
func (b *builder) add(times Range, adjust func(*Event), names ...string) float64 {
	kinds := b.allowed(names...)
	if len(kinds) == 0 {
		return times.Low
	}
	return b.addKind(pick(b.random, kinds), times, adjust)
}

// addKind draws an event of the kind, adds it to its section and returns its end.
func (b *builder) addKind(kind Kind, times Range, adjust func(*Event)) float64 {
	event := b.event(kind, times)
	if adjust != nil {
		adjust(&event)
		b.clamp(&event)
	}
	if kind.Section == SectionPlan {
		b.scenario.Plan = append(b.scenario.Plan, event)
	} else {
		b.scenario.Faults = append(b.scenario.Faults, event)
	}
	return event.End()
}

// sort orders the events by time.
func (b *builder) sort() {
	byTime := func(x, y Event) int { return cmp.Compare(x.At, y.At) }
	slices.SortStableFunc(b.scenario.Plan, byTime)
	slices.SortStableFunc(b.scenario.Faults, byTime)
}
