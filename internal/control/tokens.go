package control

import (
	"math/rand/v2"
)

// tokenBits bounds the first token of a life: large enough that two lives of a process never
// come to the same one, and short in a message.
const tokenBits = 48

// incarnationTokens draws where the counters of one life of a process begin. The tokens tie answers
// to questions. A peer may still hold an answer to an earlier life at the same address, and
// counters that began alike, or at the time of day, which jumps, would take it for their own.
type incarnationTokens struct{ random *rand.Rand }

func newIncarnationTokens(settings NodeSettings) incarnationTokens {
	// Apart from the node's own random numbers, so that those stay as they are.
	return incarnationTokens{rand.New(rand.NewPCG(settings.RandomSeed, ^settings.Start))}
}

// first draws the token before the first of a counter.
func (l incarnationTokens) first() uint64 { return l.random.Uint64() >> (64 - tokenBits) }
