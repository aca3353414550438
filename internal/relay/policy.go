package relay

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// slotCount is the fixed number that a prefix's hash is taken modulo of. Slots
// are assigned to engines by rendezvous hashing, so their number never depends on how
// many engines there are, and an engine that is lost moves only its own slots.
const slotCount = 4096

// goldenRatio is 2^64 divided by the golden ratio: multiplied by it, numbers that differ in few
// bits differ in many.
const goldenRatio = 0x9e3779b97f4a7c15

// Candidate is an engine that a request may go to.
type Candidate struct {
	ID     string
	Weight uint32
	Load   float64 // outstanding tokens, own and other routers'
	IsFull bool    // the slow start's cap lets this router send it nothing now
}

// SlotOf gives the slot of a prefix's hash.
func SlotOf(prefix uint64) uint32 { return uint32(prefix % slotCount) }

// roundingMargin is far above what rounding does to a score: of two engines of one weight the one with a draw so much lower
// scores less.
const roundingMargin = 1e-9

// Preferred is the index of the engine that a slot belongs to, by weighted rendezvous hashing; -1 if there
// are no candidates.
func Preferred(slot uint32, candidates []Candidate) int {
	best, bestScore, bestDraw := -1, math.Inf(-1), 0.0
	var key [64]byte
	for i := range candidates {
		candidate := &candidates[i]
		content := binary.LittleEndian.AppendUint32(append(key[:0], candidate.ID...), slot)
		// Uniform in (0,1), never 0 or 1, so that the logarithm is finite.
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

// Choice is what the policy decided and by what figures. Index and Preferred are indices of candidates.
type Choice struct {
	Index     int // -1: every candidate is full
	Preferred int
	IsDivert  bool    // Index is not the preferred engine
	Mean      float64 // load of the candidates, in tokens
	Reason    string
}

// Choose is the rule of the policy's source (docs/design.md): the preferred engine, unless its load
// exceeds maxImbalance times the mean; then the engine with the fewest outstanding
// tokens. Engines within nearTie times the mean above the fewest count as tied and
// salt decides between them, so that routers with the same late view do not all
// choose one. There has to be at least one candidate.
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
		choice.Reason = "the preferred engine is ramping up and full"
	}
	return choice
}

// leastLoaded gives the index of the least loaded engine that may take more, or -1.
// The slack is in tokens: a share of the least load would be nothing when that engine is idle.
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

// PrefixHash hashes the first tokens of a prompt, length of them at most.
func PrefixHash(tokens []uint32, length int) uint64 {
	digest := xxhash.New()
	var key [4]byte
	for _, token := range tokens[:min(length, len(tokens))] {
		binary.LittleEndian.PutUint32(key[:], token)
		digest.Write(key[:])
	}
	return digest.Sum64()
}
