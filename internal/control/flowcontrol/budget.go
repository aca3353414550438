package flowcontrol

import "dunlinloom/internal/kernel"

// Budget is a token bucket of bytes. It may be overdrawn by one message, so that a message larger than the
// bucket is not held back for good; the next one waits until the debt is paid. The zero time is a full bucket.
type Budget struct {
	Rate  int // bytes a second
	Burst int // the most bytes that are saved up
	spent int // bytes that are missing from a full bucket
	at    kernel.Micros
}

// Available is how many bytes may be sent now; not above zero: none.
func (b *Budget) Available(now kernel.Micros) int {
	elapsed := now - b.at
	if b.spent == 0 || elapsed >= kernel.Micros(b.spent/b.Rate+1)*kernel.Second {
		return b.Burst
	}
	refilled := int64(b.Rate) * int64(max(elapsed, 0)) / int64(kernel.Second)
	return b.Burst - max(b.spent-int(refilled), 0)
}

// Spend takes the bytes of a message that is sent.
func (b *Budget) Spend(now kernel.Micros, bytes int) {
	b.spent = b.Burst - b.Available(now) + bytes
	b.at = now
}
