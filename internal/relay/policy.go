package relay

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// slotCount is the number of slots; a prefix belongs to the slot of its hash modulo slotCount. Slots are
// assigned to engines by rendezvous hashing, so slotCount does not depend on the number of engines, and
// when an engine is lost only its own slots move.
const slotCount = 4096

// goldenRatio is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing: after the
// multiplication, numbers that differ in few bits differ in many.
const goldenRatio = 0x9e3779b97f4a7c15

// Candidate is an engine that the policy may choose.
type Candidate struct {
	ID     string
	Weight uint32
	Load   float64 // outstanding tokens of this and all other routers
	IsFull bool    // this router's share of the slow-start cap is used up
}

// SlotOf returns the slot of a prefix hash.
func SlotOf(prefix uint64) uint32 { return uint32(prefix % slotCount) }

// roundingMargin is far above the rounding error of a score in Preferred. Of two engines with the same weight, the one
// whose draw is lower by more than this margin certainly has the lower score, so its logarithm need not be computed.
const roundingMargin = 1e-9

// Preferred returns the index of the engine that a slot is assigned to by weighted rendezvous hashing, or
// -1 if there are no candidates.
func Preferred(slot uint32, candidates []Candidate) int {
	best, bestScore, bestDraw := -1, math.Inf(-1), 0.0
	var key [64]byte
	for i := range candidates {
		candidate := &candidates[i]
		content := binary.LittleEndian.AppendUint32(append(key[:0], candidate.ID...), slot)
		// The draw is uniform in (0,1) and never 0 or 1, so the logarithm is finite and not zero.
		draw := (float64(xxhash.Sum64(content)>>11) + 0.5) / (1 << 53)
		if best >= 0 && candidate.Weight == candidates[best].Weight && draw < bestDraw-roundingMargin {
			continue
		}
		score := float64(candidate.Weight) / -math.Log(draw)
		if score > bestScore {
			best, bestScore, bestDraw = i, score, draw
		}
	}
	return best
}

// Choice is a decision of the policy with its reason. Index and Preferred are indices of candidates.
type Choice struct {
	Index     int // -1: every candidate is full
	Preferred int
	IsDivert  bool    // Index is not the preferred engine
	Mean      float64 // mean load of the candidates, in tokens
	Reason    string
}

// Choose applies the rule of the published policy (docs/design.md). It returns the preferred engine, unless
// that engine is full or its load exceeds maxImbalance times the mean; then it returns the least loaded
// engine that is not full. Engines whose load is within nearTie times the mean of the least load count as
// tied. The salt decides between them, so that routers with the same outdated view do not all choose the
// same engine. There has to be at least one candidate.
func Choose(candidates []Candidate, preferred int, maxImbalance, nearTie float64, salt uint64) Choice {
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.Load
	}
	choice := Choice{Index: preferred, Preferred: preferred, Mean: total / float64(len(candidates)), Reason: "preferred"}
	isAbove := choice.Mean > 0 && candidates[preferred].Load > maxImbalance*choice.Mean
	if !isAbove && !candidates[preferred].IsFull {
		return choice
	}
	choice.Index = leastLoaded(candidates, nearTie*choice.Mean, salt)
	choice.IsDivert = choice.Index != preferred
	choice.Reason = "the preferred engine's load is above the multiple of the mean"
	if !isAbove {
		choice.Reason = "the preferred engine is in slow start and full"
	}
	return choice
}

// leastLoaded returns the index of the least loaded engine that is not full, or -1 if all are full. Engines whose load
// is within slack of the least load count as tied, and the salt decides between them. The slack is in tokens, because a
// share of the least load would be zero when that engine is idle.
func leastLoaded(candidates []Candidate, slack float64, salt uint64) int {
	least := math.Inf(1)
	for _, candidate := range candidates {
		if !candidate.IsFull {
			least = min(least, candidate.Load)
		}
	}
	best, bestDraw := -1, uint64(0)
	for i, candidate := range candidates {
		if candidate.IsFull || candidate.Load > least+slack {
			continue
		}
		draw := xxhash.Sum64String(candidate.ID) ^ salt
		draw *= goldenRatio
		draw ^= draw >> 32
		if best < 0 || draw > bestDraw {
			best, bestDraw = i, draw
		}
	}
	return best
}

// PrefixHash returns the hash of the first tokens of a prompt, at most length of them.
func PrefixHash(tokens []uint32, length int) uint64 {
	digest := xxhash.New()
	var key [4]byte
	for _, token := range tokens[:min(length, len(tokens))] {
		binary.LittleEndian.PutUint32(key[:], token)
		digest.Write(key[:])
	}
	return digest.Sum64()
}
