package router

import "dunlinloom/internal/kernel"

// RetryBudget bounds the attempts beyond the first of a service's requests, over the whole
// fleet: at most Ratio times the requests, and Slack more, within any Window.
type RetryBudget struct {
	Ratio  float64
	Window kernel.Micros
	Slack  float64
	// SlackFrom is the moment from which this router uses its part of the slack; see StartingAt.
	SlackFrom kernel.Micros
}

// StartingAt bounds the attempts of a router that starts at a moment. An earlier life of it may
// have used its part of the slack just before, so none is used until a whole window has passed.
func (r RetryBudget) StartingAt(now kernel.Micros) RetryBudget {
	r.SlackFrom = now + r.Window + windowMargin
	return r
}

// slackAt is the slack that the fleet may use at a moment, as far as this router knows.
func (r RetryBudget) slackAt(now kernel.Micros) float64 {
	if now < r.SlackFrom {
		return 0
	}
	return r.Slack
}

// windowMargin is how much longer than the window attempts count: its ends fall into a second each.
const windowMargin = 2 * kernel.Second

// budgetSafetyFactor is the part of the fleet's allowance that is used: windows of the one that
// judges begin elsewhere, and another node may count the routers differently.
const budgetSafetyFactor = 0.7

// budget is this router's part of a service's allowance. The ratio counts its own
// requests; of the slack it takes its share. Nobody asks anybody, so the parts add up
// to less than the whole as long as no router takes the fleet for too small and no router
// begins with a part that its earlier life has used.
type budget struct {
	seconds []budgetSecond
}

type budgetSecond struct {
	number            int64
	requests, retries int
}

func (b *budget) second(now kernel.Micros, retry RetryBudget) *budgetSecond {
	size := int64((retry.Window + windowMargin) / kernel.Second)
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

func (b *budget) first(now kernel.Micros, retry RetryBudget) { b.second(now, retry).requests++ }

// spend takes one attempt more, if it is within this router's part.
func (b *budget) spend(now kernel.Micros, retry RetryBudget, routers int) bool {
	firsts, extras := b.window(now, retry)
	allowed := budgetSafetyFactor * (retry.Ratio*float64(firsts) + retry.slackAt(now)/float64(max(routers, 1)))
	if float64(extras+1) > allowed {
		return false
	}
	b.second(now, retry).retries++
	return true
}

// window counts the requests that surely fall into the window that ends now, and the attempts
// beyond the first of each that may.
func (b *budget) window(now kernel.Micros, retry RetryBudget) (firsts, extras int) {
	current := b.second(now, retry)
	oldest := current.number - int64(len(b.seconds)) + 1
	for _, slot := range b.seconds {
		if slot.number < oldest {
			continue
		}
		extras += slot.retries
		// Of the requests only those that surely fall into the window count.
		if slot.number > oldest+1 {
			firsts += slot.requests
		}
	}
	return firsts, extras
}
