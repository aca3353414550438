package relay

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// The rule of the published policy, with results calculated by hand.
func TestChooseWorkedExamples(t *testing.T) {
	for _, example := range []struct {
		name      string
		loads     []float64
		preferred int
		factor    float64
		want      []int // any of these, because engines with the same load are tied
		isDivert  bool
	}{
		{"no load: the mean is zero, so no diversion", []float64{0, 0, 0}, 2, 2, []int{2}, false},
		{"below twice the mean of 100", []float64{190, 60, 50}, 0, 2, []int{0}, false},
		{"exactly twice the mean is not above it", []float64{200, 100, 0}, 0, 2, []int{0}, false},
		{"above twice the mean diverts to the least loaded", []float64{300, 90, 30}, 0, 2, []int{2}, true},
		{"only one engine has load: 900 is above twice 300", []float64{0, 900, 0, 0}, 1, 2, []int{0, 2, 3}, true},
		{"two engines can never be above twice their mean", []float64{1000, 0}, 0, 2, []int{0}, false},
		{"a factor of 1.5 diverts two engines", []float64{1000, 0}, 0, 1.5, []int{1}, true},
		{"the preferred engine may be the least loaded", []float64{10, 500, 500}, 0, 2, []int{0}, false},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			candidates := []Candidate{}
			for i, load := range example.loads {
				candidates = append(candidates, Candidate{ID: fmt.Sprintf("e%d", i), Weight: 1, Load: load})
			}
			choice := Choose(candidates, example.preferred, example.factor, 0, 0)
			c.Assert(example.want, qt.Contains, choice.Index)
			c.Assert(choice.IsDivert, qt.Equals, example.isDivert)
		})
	}
}

func TestNearTiesDifferBySalt(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{{ID: "hot", Weight: 1, Load: 1000}}
	for i := range 8 {
		candidates = append(candidates, Candidate{ID: fmt.Sprintf("e%d", i), Weight: 1, Load: 100 + float64(i%2)})
	}
	candidates = append(candidates, Candidate{ID: "above", Weight: 1, Load: 120})
	taken := map[string]int{}
	for salt := range uint64(400) {
		choice := Choose(candidates, 0, 2, 0.05, salt*goldenRatio)
		taken[candidates[choice.Index].ID]++
	}
	c.Assert(taken, qt.HasLen, 8)
	c.Assert(taken["above"], qt.Equals, 0)
}

func TestALostEngineMovesOnlyItsOwnSlots(t *testing.T) {
	c := qt.New(t)
	all := []Candidate{}
	for i := range 18 {
		all = append(all, Candidate{ID: fmt.Sprintf("e%02d", i), Weight: 100})
	}
	rest := append(append([]Candidate{}, all[:7]...), all[8:]...)
	moved, lostSlots := 0, 0
	for slot := range uint32(slotCount) {
		before, after := all[Preferred(slot, all)].ID, rest[Preferred(slot, rest)].ID
		if before == "e07" {
			lostSlots++
		} else if before != after {
			moved++
		}
	}
	c.Assert(moved, qt.Equals, 0)
	// An even share is 4096/18 = 228 slots; the bounds are about six standard deviations away.
	c.Assert(lostSlots > 140 && lostSlots < 320, qt.IsTrue, qt.Commentf("the lost engine had %d slots", lostSlots))
}

func TestWeightsShareSlots(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{{ID: "big", Weight: 300}, {ID: "small", Weight: 100}}
	big := 0
	for slot := range uint32(slotCount) {
		if Preferred(slot, candidates) == 0 {
			big++
		}
	}
	c.Assert(big > 2900 && big < 3240, qt.IsTrue, qt.Commentf("three quarters of 4096 are 3072, got %d", big))
}

func TestPrefixHashTakesOnlyThePrefix(t *testing.T) {
	c := qt.New(t)
	long := make([]uint32, 100)
	other := make([]uint32, 100)
	for i := range long {
		long[i], other[i] = uint32(i), uint32(i)
	}
	other[64] = 7
	c.Assert(PrefixHash(long, 64), qt.Equals, PrefixHash(other, 64))
	other[63] = 7
	c.Assert(PrefixHash(long, 64), qt.Not(qt.Equals), PrefixHash(other, 64))
	c.Assert(PrefixHash(long[:10], 64), qt.Not(qt.Equals), PrefixHash(long, 64))
}

// Preferred skips the logarithm for some candidates. It must still return the candidate with the highest score of all.
func TestPreferredHasTheHighestScore(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 3000 {
		candidates := []Candidate{}
		for i := range 1 + random.IntN(300) {
			weight := uint32(1)
			if round%3 == 0 {
				weight = 1 + random.Uint32N(4)
			}
			candidates = append(candidates, Candidate{ID: fmt.Sprintf("an engine with a long name of service %d, number %d", random.IntN(9), i), Weight: weight})
		}
		slot := random.Uint32N(slotCount)
		expected, highest := -1, math.Inf(-1)
		for i, candidate := range candidates {
			digest := xxhash.New()
			_, _ = digest.WriteString(candidate.ID)
			_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, slot))
			draw := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
			if score := float64(candidate.Weight) / -math.Log(draw); score > highest {
				expected, highest = i, score
			}
		}
		c.Assert(Preferred(slot, candidates), qt.Equals, expected)
	}
	c.Assert(Preferred(1, nil), qt.Equals, -1)
}
