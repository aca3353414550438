package main

import (
	"errors"
	"iter"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	qt "github.com/frankban/quicktest"
)

const (
	exampleSite       = "testdata/site.toml"
	scenariosPerTheme = 300 // in the tests that check a whole series
)

// newGenerator returns a generator for the example site without skipped kinds.
func newGenerator(t *testing.T, theme string) *Generator {
	t.Helper()
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	generator, err := NewGenerator(site, theme, nil)
	qt.Assert(t, err, qt.IsNil)
	return generator
}

// eachScenario iterates over a series of scenarios of each theme.
func eachScenario(t *testing.T) iter.Seq[Scenario] {
	t.Helper()
	return func(yield func(Scenario) bool) {
		for theme := range themes {
			generator := newGenerator(t, theme)
			for index := range scenariosPerTheme {
				if !yield(generator.Scenario(1, index)) {
					return
				}
			}
		}
	}
}

// events returns all events of a scenario except the final fault.
func events(scenario Scenario) []Event {
	return slices.Concat(scenario.Plan, scenario.Faults)
}

// drawnArguments returns the words of `how` that occur in a series of scenarios, by kind. An empty `how` counts as "".
func drawnArguments(t *testing.T, generator *Generator, count int) map[string]map[string]bool {
	t.Helper()
	words := map[string]map[string]bool{}
	for index := range count {
		for _, event := range events(generator.Scenario(7, index)) {
			if words[event.Kind] == nil {
				words[event.Kind] = map[string]bool{}
			}
			for _, word := range strings.Fields(event.How) {
				words[event.Kind][word] = true
			}
			if event.How == "" {
				words[event.Kind][""] = true
			}
		}
	}
	return words
}

func TestSeedReproducesScenario(t *testing.T) {
	for theme := range themes {
		first := newGenerator(t, theme)
		second := newGenerator(t, theme)
		for index := range 20 {
			second.Scenario(99, index) // scenarios generated before must have no influence
			qt.Assert(t, second.Scenario(3, index), qt.DeepEquals, first.Scenario(3, index))
		}
	}
}

func TestSeedsDiffer(t *testing.T) {
	generator := newGenerator(t, "mixed")
	qt.Assert(t, generator.Scenario(1, 0), qt.Not(qt.DeepEquals), generator.Scenario(2, 0))
	qt.Assert(t, generator.Scenario(1, 0), qt.Not(qt.DeepEquals), generator.Scenario(1, 1))
}

func TestMixedScenariosHaveEveryKindAndVariant(t *testing.T) {
	words := drawnArguments(t, newGenerator(t, "mixed"), 4000)
	for _, kind := range Kinds {
		qt.Check(t, words[kind.Name], qt.IsNotNil, qt.Commentf("kind %s", kind.Name))
		for _, variant := range kind.Variants {
			for _, word := range strings.Fields(variant) {
				qt.Check(t, words[kind.Name][word], qt.IsTrue, qt.Commentf("%s %q", kind.Name, word))
			}
			if variant == "" && !kind.SelectsMachine {
				qt.Check(t, words[kind.Name][""], qt.IsTrue, qt.Commentf("%s with an empty how", kind.Name))
			}
		}
		for _, word := range optionalArguments(kind) {
			qt.Check(t, words[kind.Name][word], qt.IsTrue, qt.Commentf("%s %q", kind.Name, word))
		}
	}
}

// optionalArguments returns the words of `how` that can be combined with a kind's variant.
func optionalArguments(kind Kind) []string {
	var words []string
	if kind.SelectsMachine {
		words = append(words, machineSelectors...)
		words = append(words, followUps...)
	}
	if kind.IsPartition {
		words = append(words, partitionModes...)
	}
	if strings.HasPrefix(kind.Name, "srv_") {
		words = append(words, serverScopes...)
	}
	if kind.Name == "srv_grey" {
		words = append(words, "one_zone")
	}
	return words
}

func TestFinalFaultsHaveEveryKindAndVariant(t *testing.T) {
	drawn := map[FinalFault]bool{}
	hasNone := false
	for scenario := range eachScenario(t) {
		if scenario.FinalFault == nil {
			hasNone = true
			continue
		}
		drawn[FinalFault{Kind: scenario.FinalFault.Kind, How: scenario.FinalFault.How}] = true
	}
	qt.Check(t, hasNone, qt.IsTrue)
	for _, kind := range finalFaultKinds {
		for _, how := range finalFaultVariants {
			qt.Check(t, drawn[FinalFault{Kind: kind, How: how}], qt.IsTrue, qt.Commentf("%s %q", kind, how))
		}
	}
}

func TestEventsLieWithinTheScenario(t *testing.T) {
	const tolerance = 1e-6
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	for scenario := range eachScenario(t) {
		for _, event := range events(scenario) {
			isWithin := event.At >= -site.LeadSeconds && event.End() <= scenario.LengthSeconds+tolerance
			qt.Assert(t, isWithin, qt.IsTrue, qt.Commentf("%s: %+v", scenario.Name, event))
		}
	}
}

func TestEventsNameKnownZonesAndKinds(t *testing.T) {
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	zones := append(site.CoreZones(), "")
	for scenario := range eachScenario(t) {
		for _, event := range events(scenario) {
			_, known := kindNamed(event.Kind)
			qt.Assert(t, known, qt.IsTrue, qt.Commentf("%+v", event))
			qt.Assert(t, zones, qt.Contains, event.Zone)
			onCoreShare := event.On == "core" && event.Share != 0
			qt.Assert(t, onCoreShare, qt.IsFalse, qt.Commentf("%+v", event))
		}
	}
}

func TestStartScenariosHaveFaultsDuringTheFirstStart(t *testing.T) {
	generator := newGenerator(t, "start")
	hit := map[string]bool{}
	for index := range scenariosPerTheme {
		for _, fault := range generator.Scenario(1, index).Faults {
			qt.Assert(t, fault.At <= startEnd, qt.IsTrue, qt.Commentf("%+v", fault))
			hit[fault.Kind+" "+fault.Zone] = true
		}
	}
	for _, zone := range []string{"north", "south", "west"} {
		qt.Check(t, hit["node_kill "+zone], qt.IsTrue, qt.Commentf("zone %s", zone))
	}
}

func TestStartScenariosCutCorePowerDuringFirstWrites(t *testing.T) {
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	generator := newGenerator(t, "start")
	hit := map[string]bool{}
	for index := range scenariosPerTheme {
		for _, fault := range generator.Scenario(1, index).Faults {
			if fault.How == "power" && fault.On == "core" && fault.At <= firstWritesSpan-site.LeadSeconds {
				hit[fault.Kind] = true
			}
		}
	}
	qt.Assert(t, hit, qt.DeepEquals, map[string]bool{"node_kill": true, "herd_kill": true})
}

func TestCutScenariosHaveLongPartitions(t *testing.T) {
	generator := newGenerator(t, "cut")
	for index := range scenariosPerTheme {
		scenario := generator.Scenario(1, index)
		hasLongCut := slices.ContainsFunc(scenario.Faults, func(fault Event) bool {
			return fault.Kind == "core_cut" && fault.Duration >= 18
		})
		qt.Assert(t, hasLongCut, qt.IsTrue, qt.Commentf("%s", scenario.Name))
	}
}

func TestStormScenariosHaveHundredsOfChanges(t *testing.T) {
	generator := newGenerator(t, "storm")
	for index := range scenariosPerTheme {
		scenario := generator.Scenario(1, index)
		hasLongStorm := slices.ContainsFunc(scenario.Plan, func(work Event) bool {
			return work.Kind == "config_storm" && work.Count >= 150
		})
		qt.Assert(t, hasLongStorm, qt.IsTrue, qt.Commentf("%s", scenario.Name))
	}
}

func TestRepairScenariosHaveSeveralLosses(t *testing.T) {
	generator := newGenerator(t, "repair")
	for index := range scenariosPerTheme {
		losses := 0
		for _, fault := range generator.Scenario(1, index).Faults {
			if slices.Contains(diskLossKinds, fault.Kind) {
				losses++
			}
		}
		qt.Assert(t, losses >= 3, qt.IsTrue)
	}
}

func TestSkippedAndUnsupportedKindsAreNotDrawn(t *testing.T) {
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	site.Contracts = []string{"base"}
	for theme := range themes {
		generator, err := NewGenerator(site, theme, []string{"config_storm"})
		qt.Assert(t, err, qt.IsNil)
		for index := range scenariosPerTheme {
			for _, event := range events(generator.Scenario(1, index)) {
				kind, _ := kindNamed(event.Kind)
				qt.Assert(t, kind.Contract, qt.Equals, "")
				qt.Assert(t, kind.Name, qt.Not(qt.Equals), "config_storm")
			}
		}
	}
}

func TestEncodedScenarioDecodesToTheSame(t *testing.T) {
	for scenario := range eachScenario(t) {
		encoded, err := scenario.Encode()
		qt.Assert(t, err, qt.IsNil)
		var decoded Scenario
		_, err = toml.Decode(string(encoded), &decoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, scenario)
	}
}

func TestRunWritesOneFilePerScenario(t *testing.T) {
	out := filepath.Join(t.TempDir(), "days")
	err := run(arguments{Site: exampleSite, Theme: "cut", Seed: 5, Count: 3, Out: out})
	qt.Assert(t, err, qt.IsNil)
	files, err := os.ReadDir(out)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 3)
	qt.Assert(t, files[0].Name(), qt.Equals, "cut-5-000.toml")
}

func TestUnknownThemeIsRefused(t *testing.T) {
	_, err := NewGenerator(Site{}, "unheard", nil)
	var unknown *UnknownThemeError
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
	qt.Assert(t, unknown.Theme, qt.Equals, "unheard")
}

func TestIncompleteSiteIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	err := os.WriteFile(path, []byte("name = \"bare\"\n"), fileMode)
	qt.Assert(t, err, qt.IsNil)
	_, err = LoadSite(path)
	var incomplete *IncompleteSiteError
	qt.Assert(t, errors.As(err, &incomplete), qt.IsTrue)
	qt.Assert(t, incomplete.Missing, qt.Equals, "lead_s")
}

// Each scenario of the theme has its own traffic, nearly all of the class that takes longest, and no fault beside the stops.
func TestStopsAreScheduledUnderLongRequests(t *testing.T) {
	c := qt.New(t)
	generator := newGenerator(t, "stop")
	for index := range scenariosPerTheme {
		scenario := generator.Scenario(1, index)
		c.Assert(scenario.Faults, qt.HasLen, 0)
		c.Assert(scenario.Traffic, qt.HasLen, 2)
		for _, traffic := range scenario.Traffic {
			c.Assert(traffic.Mix, qt.DeepEquals, map[string]float64{"chat": 1 - longShare, "batch": longShare})
		}
		stops := 0
		for _, event := range scenario.Plan {
			if event.Kind == "roll_term" {
				stops++
				c.Assert([]any{event.Share, event.How}, qt.DeepEquals, []any{1.0, "busy"})
			}
		}
		c.Assert(stops >= 2, qt.IsTrue)
	}
}

// Each scenario of the theme sends more than the site does, beside changes and without a fault.
func TestQueuesAreScheduledBesideChanges(t *testing.T) {
	c := qt.New(t)
	generator := newGenerator(t, "queue")
	for index := range scenariosPerTheme {
		scenario := generator.Scenario(1, index)
		c.Assert(scenario.Faults, qt.HasLen, 0)
		c.Assert(scenario.Traffic[0].PerSecond >= 10*queueTrafficScale.Low, qt.IsTrue)
		c.Assert(scenario.Traffic[0].Mix, qt.DeepEquals, map[string]float64{"chat": 20, "batch": 4})
		c.Assert(len(scenario.Plan) > 5, qt.IsTrue)
	}
}
