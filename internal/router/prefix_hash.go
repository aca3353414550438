package router

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// PrefixHash hashes the ids of the segments that cover the first tokens of a prompt; length is in tokens.
func PrefixHash(segments []Segment, length int) uint64 {
	digest := xxhash.New()
	for covered, i := 0, 0; i < len(segments) && covered < length; i++ {
		writeSegment(digest, segments[i])
		covered += segments[i].Tokens
	}
	return digest.Sum64()
}

// sharedHash hashes all segments but the last, which belongs to one request or session.
func sharedHash(segments []Segment) uint64 {
	digest := xxhash.New()
	for i := 0; i < len(segments)-1; i++ {
		writeSegment(digest, segments[i])
	}
	return digest.Sum64()
}

// writeSegment adds a segment's id to a hash, with a separator that no id holds.
func writeSegment(digest *xxhash.Digest, segment Segment) {
	digest.WriteString(segment.ID)
	digest.Write([]byte{','})
}

// prefixOf gives the hash by which the engine of a call's next attempt is preferred; the same for every
// attempt of a call.
func (c *Chooser) prefixOf(now kernel.Micros, call *Call) uint64 {
	request := &call.Request
	switch {
	case !request.isPinned():
		// No engine has seen anything of it: any is as good as another.
		return xxhash.Sum64String(request.ID)
	case len(call.triedEngines) > 0:
		return call.prefix
	}
	policy := c.routingTable.Config.Policy
	size := float64(request.PromptTokens + request.MaxTokens)
	maxShare := (policy.MaxImbalance - 1) / float64(len(c.services[request.Service]))
	return c.depths.hash(now, request.Segments, policy.PrefixLength, size, maxShare)
}

// prefixDepths decides how many segments of a prompt its hash covers.
//
// The source hashes a fixed length and diverts what the preferred engine can't take. Where one prefix has
// much of the traffic, that diverts nearly all of it to whichever engine has the fewest tokens just then, and
// what those prompts share beyond the prefix is read again everywhere. So a prefix whose share of the tokens
// placed here would, on top of an engine's fair share, push that engine above the multiple is hashed one
// segment further. All routers see about the same shares, so they agree without a message.
type prefixDepths struct {
	shares    map[uint64]*prefixShare
	total     float64 // tokens, decayed
	updatedAt kernel.Micros
	count     int // requests
}

type prefixShare struct {
	tokens    float64 // decayed
	updatedAt kernel.Micros
	isHot     bool
}

// minHotSamples is how many requests have to be placed before shares are evidence.
const minHotSamples = 24

const (
	shareDecay    = 10 * kernel.Second // in which a share loses most of its weight
	hotHysteresis = 0.6                // a hot prefix stays hot until its share falls to this part of the bound
	maxPrefixes   = 8192               // prefixes remembered
)

func decayed(tokens float64, since kernel.Micros) float64 {
	return tokens * math.Exp(-float64(since)/float64(shareDecay))
}

// hash counts a prompt's tokens and gives the hash of as many of its segments as it takes. length is the
// fixed one in tokens, size the tokens of the request, maxShare the part of all tokens from which a prefix
// is hot.
func (d *prefixDepths) hash(now kernel.Micros, segments []Segment, length int, size, maxShare float64) uint64 {
	if d.shares == nil {
		d.shares = map[uint64]*prefixShare{}
	}
	d.total = decayed(d.total, now-d.updatedAt) + size
	d.updatedAt = now
	d.count++
	digest := xxhash.New()
	covered := 0
	for i, segment := range segments {
		writeSegment(digest, segment)
		covered += segment.Tokens
		if covered < length {
			continue
		}
		sum := digest.Sum64()
		// The last segment is one request's own, which nothing else can share; and with the
		// last but one all is covered that can be found again.
		if i >= len(segments)-2 || !d.isHot(now, sum, size, maxShare, segments[i+1].Tokens > covered) {
			return sum
		}
	}
	return digest.Sum64()
}

// isHot counts a prompt to a prefix. Until there is evidence a prefix is taken for hot if
// most of what its prompt shares lies beyond it: to split it costs the less then, and all
// routers take it alike from their first request on.
func (d *prefixDepths) isHot(now kernel.Micros, sum uint64, size, maxShare float64, isCheapToSplit bool) bool {
	share := d.shares[sum]
	if share == nil {
		if len(d.shares) >= maxPrefixes {
			d.sweep(now)
		}
		share = &prefixShare{updatedAt: now, isHot: isCheapToSplit}
		d.shares[sum] = share
	}
	share.tokens = decayed(share.tokens, now-share.updatedAt) + size
	share.updatedAt = now
	if d.count < minHotSamples {
		return share.isHot
	}
	if share.isHot {
		maxShare *= hotHysteresis
	}
	share.isHot = share.tokens > maxShare*d.total
	return share.isHot
}

// sweep forgets what has decayed, or everything when that is not enough.
func (d *prefixDepths) sweep(now kernel.Micros) {
	for sum, share := range d.shares {
		if now-share.updatedAt > 3*shareDecay {
			delete(d.shares, sum)
		}
	}
	if len(d.shares) >= maxPrefixes {
		clear(d.shares)
	}
}
