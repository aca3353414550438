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
	exampleSite = "testdata/site.toml"
	seriesSize  = 300 // days per theme in the tests that look at a whole series
)

// newGenerator returns a generator for the example site.
func newGenerator(t *testing.T, theme string) *Generator {
	t.Helper()
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	generator, err := NewGenerator(site, theme, nil)
	qt.Assert(t, err, qt.IsNil)
	return generator
}

// eachDay returns every day of a series of every theme.
func eachDay(t *testing.T) iter.Seq[Run] {
	t.Helper()
	return func(yield func(Run) bool) {
		for theme := range themes {
			generator := newGenerator(t, theme)
			for index := range seriesSize {
				if !yield(generator.Run(1, index)) {
					return
				}
			}
		}
	}
}

// entries returns all entries of a day.
func entries(day Run) []Fault {
	return slices.Concat(day.Plan, day.Faults)
}

// drawnArguments returns the words of `how` by kind over a series of mixed days.
func drawnArguments(t *testing.T, generator *Generator, days int) map[string]map[string]bool {
	t.Helper()
	words := map[string]map[string]bool{}
	for index := range days {
		for _, fault := range entries(generator.Run(7, index)) {
			if words[fault.Kind] == nil {
				words[fault.Kind] = map[string]bool{}
			}
			for _, word := range strings.Fields(fault.How) {
				words[fault.Kind][word] = true
			}
			if fault.How == "" {
				words[fault.Kind][""] = true
			}
		}
	}
	return words
}

func TestSeedRepeatsDay(t *testing.T) {
	for theme := range themes {
		first := newGenerator(t, theme)
		second := newGenerator(t, theme)
		for index := range 20 {
			second.Run(99, index) // days drawn before must not matter
			qt.Assert(t, second.Run(3, index), qt.DeepEquals, first.Run(3, index))
		}
	}
}

func TestSeedsDiffer(t *testing.T) {
	generator := newGenerator(t, "mixed")
	qt.Assert(t, generator.Run(1, 0), qt.Not(qt.DeepEquals), generator.Run(2, 0))
	qt.Assert(t, generator.Run(1, 0), qt.Not(qt.DeepEquals), generator.Run(1, 1))
}

func TestMixedDaysHoldEveryKindAndVariant(t *testing.T) {
	words := drawnArguments(t, newGenerator(t, "mixed"), 4000)
	for _, kind := range Kinds {
		qt.Check(t, words[kind.Name], qt.IsNotNil, qt.Commentf("kind %s", kind.Name))
		for _, variant := range kind.Variants {
			for _, word := range strings.Fields(variant) {
				qt.Check(t, words[kind.Name][word], qt.IsTrue, qt.Commentf("%s %q", kind.Name, word))
			}
			if variant == "" && !kind.HasTarget {
				qt.Check(t, words[kind.Name][""], qt.IsTrue, qt.Commentf("%s without how", kind.Name))
			}
		}
		for _, word := range optionalArguments(kind) {
			qt.Check(t, words[kind.Name][word], qt.IsTrue, qt.Commentf("%s %q", kind.Name, word))
		}
	}
}

// optionalArguments returns the words that may stand beside a kind's variant.
func optionalArguments(kind Kind) []string {
	var words []string
	if kind.HasTarget {
		words = append(words, selectorArguments...)
		words = append(words, followUpArguments...)
	}
	if kind.Severing {
		words = append(words, severingArguments...)
	}
	if strings.HasPrefix(kind.Name, "srv_") {
		words = append(words, serverArguments...)
	}
	if kind.Name == "srv_grey" {
		words = append(words, "one_zone")
	}
	return words
}

func TestClosingsHoldEveryKindAndVariant(t *testing.T) {
	drawn := map[Closing]bool{}
	open := false
	for day := range eachDay(t) {
		if day.Closing == nil {
			open = true
			continue
		}
		drawn[Closing{Kind: day.Closing.Kind, How: day.Closing.How}] = true
	}
	qt.Check(t, open, qt.IsTrue)
	for _, kind := range closingKinds {
		for _, how := range closingHows {
			qt.Check(t, drawn[Closing{Kind: kind, How: how}], qt.IsTrue, qt.Commentf("%s %q", kind, how))
		}
	}
}

func TestEntriesLieInsideTheDay(t *testing.T) {
	const tolerance = 1e-6
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	for day := range eachDay(t) {
		for _, fault := range entries(day) {
			inside := fault.At >= -site.LeadSeconds && fault.End() <= day.LengthSeconds+tolerance
			qt.Assert(t, inside, qt.IsTrue, qt.Commentf("%s: %+v", day.Name, fault))
		}
	}
}

func TestEntriesNameKnownPlacesAndKinds(t *testing.T) {
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	zones := append(site.CoreZones(), "")
	for day := range eachDay(t) {
		for _, fault := range entries(day) {
			_, known := kindNamed(fault.Kind)
			qt.Assert(t, known, qt.IsTrue, qt.Commentf("%+v", fault))
			qt.Assert(t, zones, qt.Contains, fault.Zone)
			onCoreShare := fault.On == "core" && fault.Share != 0
			qt.Assert(t, onCoreShare, qt.IsFalse, qt.Commentf("%+v", fault))
		}
	}
}

func TestStartDaysStrikeDuringTheFirstStart(t *testing.T) {
	generator := newGenerator(t, "start")
	struck := map[string]bool{}
	for index := range seriesSize {
		for _, fault := range generator.Run(1, index).Faults {
			qt.Assert(t, fault.At <= startWindow, qt.IsTrue, qt.Commentf("%+v", fault))
			struck[fault.Kind+" "+fault.Zone] = true
		}
	}
	for _, zone := range []string{"north", "south", "west"} {
		qt.Check(t, struck["node_kill "+zone], qt.IsTrue, qt.Commentf("zone %s", zone))
	}
}

func TestStartDaysTakeThePowerOfTheCoreInItsFirstMoments(t *testing.T) {
	site, err := LoadSite(exampleSite)
	qt.Assert(t, err, qt.IsNil)
	generator := newGenerator(t, "start")
	struck := map[string]bool{}
	for index := range seriesSize {
		for _, fault := range generator.Run(1, index).Faults {
			if fault.How == "power" && fault.On == "core" && fault.At <= startPhase-site.LeadSeconds {
				struck[fault.Kind] = true
			}
		}
	}
	qt.Assert(t, struck, qt.DeepEquals, map[string]bool{"node_kill": true, "herd_kill": true})
}

func TestCutDaysHoldCutsOfTwentySeconds(t *testing.T) {
	generator := newGenerator(t, "cut")
	for index := range seriesSize {
		day := generator.Run(1, index)
		long := slices.ContainsFunc(day.Faults, func(fault Fault) bool {
			return fault.Kind == "core_cut" && fault.Duration >= 18
		})
		qt.Assert(t, long, qt.IsTrue, qt.Commentf("%s", day.Name))
	}
}

func TestStormDaysHoldHundredsOfChanges(t *testing.T) {
	generator := newGenerator(t, "storm")
	for index := range seriesSize {
		day := generator.Run(1, index)
		hundreds := slices.ContainsFunc(day.Plan, func(work Fault) bool {
			return work.Kind == "config_storm" && work.Count >= 150
		})
		qt.Assert(t, hundreds, qt.IsTrue, qt.Commentf("%s", day.Name))
	}
}

func TestRepairDaysHoldSeveralLosses(t *testing.T) {
	generator := newGenerator(t, "repair")
	for index := range seriesSize {
		losses := 0
		for _, fault := range generator.Run(1, index).Faults {
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
		for index := range seriesSize {
			for _, fault := range entries(generator.Run(1, index)) {
				kind, _ := kindNamed(fault.Kind)
				qt.Assert(t, kind.Contract, qt.Equals, "")
				qt.Assert(t, kind.Name, qt.Not(qt.Equals), "config_storm")
			}
		}
	}
}

func TestEncodedDayDecodesToTheSameDay(t *testing.T) {
	for day := range eachDay(t) {
		encoded, err := day.Encode()
		qt.Assert(t, err, qt.IsNil)
		var decoded Run
		_, err = toml.Decode(string(encoded), &decoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, day)
	}
}

func TestRunWritesOneFilePerDay(t *testing.T) {
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
