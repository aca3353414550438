package flowcontrol

import "dunlinloom/internal/kernel"

// TokenBucket limits the rate at which bytes are sent. One message may take more bytes than are available, so that
// a message larger than the bucket is not blocked forever; the next one has to wait until the deficit is refilled.
// A bucket is full until its first use.
type TokenBucket struct {
	Rate      int // bytes a second
	Burst     int // capacity in bytes
	deficit   int // bytes missing from a full bucket at updatedAt
	updatedAt kernel.Micros
}

// Available returns the number of bytes in the bucket. Nothing may be sent unless it is positive.
func (b *TokenBucket) Available(now kernel.Micros) int {
	elapsed := now - b.updatedAt
	if b.deficit == 0 || elapsed >= kernel.Micros(b.deficit/b.Rate+1)*kernel.Second {
		return b.Burst
	}
	refilled := int64(b.Rate) * int64(max(elapsed, 0)) / int64(kernel.Second)
	return b.Burst - max(b.deficit-int(refilled), 0)
}

// Consume removes the bytes of a message that is sent, even if fewer are available.
func (b *TokenBucket) Consume(now kernel.Micros, bytes int) {
	b.deficit = b.Burst - b.Available(now) + bytes
	b.updatedAt = now
}
