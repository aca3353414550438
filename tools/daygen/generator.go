package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// maxScenarioSeed bounds the seed that a day hands to the simulation.
const maxScenarioSeed = 1 << 40

// UnknownThemeError reports a theme that doesn't exist.
type UnknownThemeError struct {
	Theme string
}

func (e *UnknownThemeError) Error() string {
	known := strings.Join(slices.Sorted(maps.Keys(themes)), ", ")
	return fmt.Sprintf("unknown theme %q; known: %s", e.Theme, known)
}

// Generator draws days of one theme for one site. Any goroutine may use it.
type Generator struct {
	site  Site
	theme string
	kinds []Kind // the kinds that may be drawn on this site
}

// NewGenerator returns a generator of the theme's days. The kinds named in skip, and
// those whose contract isn't in force on the site, are never drawn. The error for a theme that
// doesn't exist is *UnknownThemeError.
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

// Scenario draws the day with the given index of the series that seed names. A day depends
// on its seed and index alone, not on the days drawn before it.
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

// builder collects the entries of one day.
type builder struct {
	sampler
	kinds    []Kind
	index    int
	scenario Scenario
}

// allowed returns those of the named kinds that may be drawn on the site.
func (b *builder) allowed(names ...string) []Kind {
	var kinds []Kind
	for _, kind := range b.kinds {
		if slices.Contains(names, kind.Name) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// add draws an entry of one of the named kinds; adjust, if given, changes it before it
// is fitted into the day. It returns the entry's end, or the earliest time when none of
// the kinds is allowed.
func (b *builder) add(times Range, adjust func(*Event), names ...string) float64 {
	kinds := b.allowed(names...)
	if len(kinds) == 0 {
		return times.Low
	}
	return b.addKind(pick(b.random, kinds), times, adjust)
}

// addKind draws an entry of the kind and returns its end.
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

// sort orders the entries by time.
func (b *builder) sort() {
	byTime := func(x, y Event) int { return cmp.Compare(x.At, y.At) }
	slices.SortStableFunc(b.scenario.Plan, byTime)
	slices.SortStableFunc(b.scenario.Faults, byTime)
}
