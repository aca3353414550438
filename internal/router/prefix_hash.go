package router

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/kernel"
)

// PrefixHash hashes the IDs of the segments that cover the first length tokens of a prompt.
func PrefixHash(segments []Segment, length int) uint64 {
	digest := xxhash.New()
	for covered, i := 0, 0; i < len(segments) && covered < length; i++ {
		writeSegment(digest, segments[i])
		covered += segments[i].Tokens
	}
	return digest.Sum64()
}

// sharedHash hashes all segments but the last, which belongs to a single request or session.
func sharedHash(segments []Segment) uint64 {
	digest := xxhash.New()
	for i := 0; i < len(segments)-1; i++ {
		writeSegment(digest, segments[i])
	}
	return digest.Sum64()
}

// writeSegment adds a segment's ID to a hash, followed by a separator that no ID contains.
func writeSegment(digest *xxhash.Digest, segment Segment) {
	digest.WriteString(segment.ID)
	digest.Write([]byte{','})
}

// prefixOf returns the hash that determines the preferred engine of a call's next attempt. All attempts of a call use
// the same hash.
func (c *Chooser) prefixOf(now kernel.Micros, call *Call) uint64 {
	request := &call.Request
	switch {
	case !request.isPinned():
		// No engine has processed a part of this prompt before, so requests are spread evenly.
		return xxhash.Sum64String(request.ID)
	case len(call.triedEngines) > 0:
		return call.prefix
	}
	policy := c.routingTable.Config.Policy
	size := float64(request.PromptTokens + request.MaxTokens)
	maxShare := (policy.MaxImbalance - 1) / float64(len(c.services[request.Service]))
	return c.depths.hash(now, request.Segments, policy.PrefixLength, size, maxShare)
}

// prefixDepths decides how many segments of a prompt are hashed.
//
// The published policy (see docs/design.md) hashes a prefix of a fixed length, and diverts requests that would overload
// the preferred engine. If most of the traffic shares one prefix, nearly all of it is diverted, each request to the
// engine with the fewest outstanding tokens at that moment. Every engine then processes again what those prompts share
// beyond the prefix. So a hot prefix is hashed one segment further. A prefix is hot if an engine that gets its fair
// share of the tokens and all tokens of the prefix would exceed the configured multiple of the mean load. Only tokens
// of this router's requests are counted. All routers see about the same shares, so they agree without communication.
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

// minHotSamples is the number of requests after which the shares decide whether a prefix is hot.
const minHotSamples = 24

const (
	shareDecay    = 10 * kernel.Second // time constant of the decay of a share
	hotHysteresis = 0.6                // a hot prefix stays hot until its share falls below this part of the limit
	maxPrefixes   = 8192               // limit of the prefixes remembered
)

func decayed(tokens float64, since kernel.Micros) float64 {
	return tokens * math.Exp(-float64(since)/float64(shareDecay))
}

// hash adds a request to the shares of its prompt's prefixes, and returns the hash by which its engine is chosen. The
// hash covers the leading segments up to at least length tokens, and further segments while the covered prefix is hot.
// size is the number of tokens of the request. A prefix is hot if its share of all tokens is larger than maxShare; see
// isHot.
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
		// The last segment belongs to one request, so no other prompt shares it. Up to the last but one, the hash covers
		// everything that can be reused.
		if i >= len(segments)-2 || !d.isHot(now, sum, size, maxShare, segments[i+1].Tokens > covered) {
			return sum
		}
	}
	return digest.Sum64()
}

// isHot counts a request towards a prefix and reports whether the prefix is hot. Until minHotSamples requests have been
// counted, the shares are not used. A new prefix then counts as hot if the segment after it is longer than the prefix
// itself (isCheapToSplit): hashing that segment too costs less, since most of what the prompts share lies beyond the
// prefix. This way, all routers decide alike from their first request on.
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

// sweep removes decayed shares, or all shares if too many are left.
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
