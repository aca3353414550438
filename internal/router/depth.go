package router

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// prefixDepths tells how many parts of a prompt its hash has to cover.
//
// The source hashes a fixed length and diverts what its engine can't bear. Where one
// prefix has much of the traffic, that diverts nearly all of it to whichever engine has
// the fewest tokens just then, and what those prompts share beyond the prefix is read
// again everywhere. So a prefix whose share of the tokens placed here would, on top of an
// engine's fair share, push that engine above the multiple is hashed one part further. All
// routers see about the same shares, so they agree without a word.
type prefixDepths struct {
	shares map[uint64]*prefixShare
	total  float64
	at     kernel.Micros
	count  int
}

type prefixShare struct {
	tokens float64
	at     kernel.Micros
	isHot  bool
}

// minHotSamples is how many requests have to be placed before shares tell anything.
const minHotSamples = 24

const (
	shareDecay    = 10 * kernel.Second // in which a share loses most of its weight
	hotHysteresis = 0.6                // a hot prefix stays so until it falls to this part of the bound
	maxPrefixes   = 8192               // prefixes remembered
)

func decayed(tokens float64, since kernel.Micros) float64 {
	return tokens * math.Exp(-float64(since)/float64(shareDecay))
}

// hash counts a prompt's tokens and gives the hash of as many of its parts as it takes.
func (d *prefixDepths) hash(now kernel.Micros, parts []Segment, length int, size float64, bound float64) uint64 {
	if d.shares == nil {
		d.shares = map[uint64]*prefixShare{}
	}
	d.total = decayed(d.total, now-d.at) + size
	d.at = now
	d.count++
	digest := xxhash.New()
	covered := 0
	for i := range parts {
		digest.WriteString(parts[i].ID)
		digest.Write([]byte{','})
		covered += parts[i].Tokens
		if covered < length {
			continue
		}
		sum := digest.Sum64()
		// The last part is one request's own, which nothing else can share; and with the
		// last but one all is covered that can be found again.
		if i >= len(parts)-2 || !d.isHot(now, sum, size, bound, parts[i+1].Tokens > covered) {
			return sum
		}
	}
	return digest.Sum64()
}

// isHot counts a prompt to a prefix. Until there is evidence a prefix is taken for hot if
// most of what its prompt shares lies beyond it: to split it costs the less then, and all
// routers take it alike from their first request on.
func (d *prefixDepths) isHot(now kernel.Micros, sum uint64, size, bound float64, isCheap bool) bool {
	share := d.shares[sum]
	if share == nil {
		if len(d.shares) >= maxPrefixes {
			d.sweep(now)
		}
		share = &prefixShare{at: now, isHot: isCheap}
		d.shares[sum] = share
	}
	share.tokens = decayed(share.tokens, now-share.at) + size
	share.at = now
	if d.count < minHotSamples {
		return share.isHot
	}
	if share.isHot {
		bound *= hotHysteresis
	}
	share.isHot = share.tokens > bound*d.total
	return share.isHot
}

// sweep forgets what has faded, or everything when that is not enough.
func (d *prefixDepths) sweep(now kernel.Micros) {
	for sum, share := range d.shares {
		if now-share.at > 3*shareDecay {
			delete(d.shares, sum)
		}
	}
	if len(d.shares) >= maxPrefixes {
		clear(d.shares)
	}
}
