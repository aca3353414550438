package control

import (
	"math/rand/v2"
)

// tokenBits is the size in bits of the random start value of a token counter. It is large enough that two incarnations
// practically never use the same token, and small enough for a token to be short in a message.
const tokenBits = 48

// incarnationTokens draws the random start values of the token counters of one incarnation of a process. Tokens match
// responses to requests. A response to an earlier incarnation at the same address may arrive late. It could be mistaken
// for one of this incarnation if the counters always started at the same value, or at the time of day, which may jump.
type incarnationTokens struct{ random *rand.Rand }

func newIncarnationTokens(settings NodeSettings) incarnationTokens {
	// The generator is separate from the node's own, so that it does not change the node's random sequence.
	return incarnationTokens{rand.New(rand.NewPCG(settings.RandomSeed, ^settings.Start))}
}

// first returns the start value of a counter; the first token is the one after it.
func (t incarnationTokens) first() uint64 { return t.random.Uint64() >> (64 - tokenBits) }
