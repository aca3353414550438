package router

import "dunlinloom/kernel"

// Retry bounds the attempts beyond the first of a service's requests, over the whole
// fleet: at most Ratio times the requests, and Slack more, within any Window.
type Retry struct {
	Ratio  float64
	Window kernel.Micros
	Slack  float64
}

// safety is the part of the fleet's allowance that is used: windows of the one that
// judges begin elsewhere, and another node may count the routers differently.
const safety = 0.7

// budget is this router's part of a service's allowance. The ratio counts its own
// requests; of the slack it takes its share. Nobody asks anybody, so the parts add up
// to less than the whole as long as no router takes the fleet for too small.
type budget struct {
	seconds []budgetSecond
}

type budgetSecond struct {
	number         int64
	firsts, extras int
}

func (b *budget) second(now kernel.Micros, retry Retry) *budgetSecond {
	// Two more than the window: the ends of a sliding window fall into a second each.
	size := int64(retry.Window/kernel.Second) + 2
	if int64(len(b.seconds)) != size {
		b.seconds = make([]budgetSecond, size)
	}
	number := int64(now / kernel.Second)
	slot := &b.seconds[number%size]
	if slot.number != number {
		*slot = budgetSecond{number: number}
	}
	return slot
}

func (b *budget) first(now kernel.Micros, retry Retry) { b.second(now, retry).firsts++ }

// spend takes one attempt more, if it is within this router's part.
func (b *budget) spend(now kernel.Micros, retry Retry, routers int) bool {
	current := b.second(now, retry)
	oldest := current.number - int64(len(b.seconds)) + 1
	firsts, extras := 0, 0
	for _, slot := range b.seconds {
		if slot.number < oldest {
			continue
		}
		extras += slot.extras
		// Of the requests only those that surely fall into the window count.
		if slot.number > oldest+1 {
			firsts += slot.firsts
		}
	}
	allowed := safety * (retry.Ratio*float64(firsts) + retry.Slack/float64(max(routers, 1)))
	if float64(extras+1) > allowed {
		return false
	}
	current.extras++
	return true
}
