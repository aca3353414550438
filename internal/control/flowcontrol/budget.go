package flowcontrol

import "dunlinloom/internal/kernel"

// TokenBucket is a token bucket of bytes. It may be overdrawn by one message, so that a message larger than the
// bucket is not held back for good; the next one waits until the debt is paid. The zero time is a full bucket.
type TokenBucket struct {
	Rate      int // bytes a second
	Burst     int // the most bytes that are saved up
	deficit   int // bytes that are missing from a full bucket
	updatedAt kernel.Micros
}

// Available is how many bytes may be sent now; not above zero: none.
func (b *TokenBucket) Available(now kernel.Micros) int {
	elapsed := now - b.updatedAt
	if b.deficit == 0 || elapsed >= kernel.Micros(b.deficit/b.Rate+1)*kernel.Second {
		return b.Burst
	}
	refilled := int64(b.Rate) * int64(max(elapsed, 0)) / int64(kernel.Second)
	return b.Burst - max(b.deficit-int(refilled), 0)
}

// Consume takes the bytes of a message that is sent.
func (b *TokenBucket) Consume(now kernel.Micros, bytes int) {
	b.deficit = b.Burst - b.Available(now) + bytes
	b.updatedAt = now
}
