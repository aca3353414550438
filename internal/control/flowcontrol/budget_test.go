package flowcontrol

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func TestTokenBucketLimitsBytes(t *testing.T) {
	for _, example := range []struct {
		name     string
		spend    []int // bytes consumed, one entry every 100 ms
		wantLeft int   // right after the last entry
	}{
		{"full at first", nil, 1000},
		{"spent", []int{600}, 400},
		{"refilled in part", []int{600, 100}, 500},
		{"never above the burst", []int{10, 0, 0}, 1000},
		{"overdrawn by one message", []int{3000}, -2000},
		{"the deficit is refilled first", []int{3000, 0, 0}, -1600},
	} {
		c := qt.New(t)
		b := TokenBucket{Rate: 2000, Burst: 1000}
		now := 50 * kernel.Second
		for i, bytes := range example.spend {
			if i > 0 {
				now += kernel.Second / 10
			}
			b.Consume(now, bytes)
		}
		c.Check(b.Available(now), qt.Equals, example.wantLeft, qt.Commentf("%s", example.name))
	}
}
