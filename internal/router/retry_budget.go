package router

import (
	"dunlinloom/internal/kernel"
)

// RetryBudget limits the retries of a service across the fleet. A retry is an attempt beyond the first of its request.
// Within any period of length Window, the retries must not exceed Ratio times the requests, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Window kernel.Micros
	Slack  float64
	// SlackFrom is when this router begins to use its share of the slack; see StartingAt.
	SlackFrom kernel.Micros
}

// StartingAt returns the budget of a router process that starts now. The process that ran before it may have used the
// router's share of the slack just before, so this one uses no slack until a full window has passed.
func (r RetryBudget) StartingAt(now kernel.Micros) RetryBudget {
	r.SlackFrom = now + r.Window + windowMargin
	return r
}

// slackAt returns the slack of the fleet, or zero while this router must not use its share of it yet.
func (r RetryBudget) slackAt(now kernel.Micros) float64 {
	if now < r.SlackFrom {
		return 0
	}
	return r.Slack
}

// windowMargin extends the period for which attempts are counted. They are counted per second of the clock, and the
// second at each end of the window usually lies only partly within it.
const windowMargin = 2 * kernel.Second

// budgetSafetyFactor is the part of its budget that a router uses. The rest leaves room for a check of the fleet whose
// windows begin at other times, and for routers that see different numbers of routers.
const budgetSafetyFactor = 0.7

// budget is this router's part of a service's retry budget: Ratio times its own requests, and an equal share of the
// slack. Routers do not coordinate. Their parts add up to less than the fleet's budget under two conditions: no router
// counts too few routers (see Chooser.maxRouters), and none uses slack that its earlier process has already used (see
// StartingAt).
type budget struct {
	seconds []budgetSecond
}

type budgetSecond struct {
	number            int64
	requests, retries int
}

func (b *budget) slotAt(now kernel.Micros, retry RetryBudget) *budgetSecond {
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

func (b *budget) countRequest(now kernel.Micros, retry RetryBudget) { b.slotAt(now, retry).requests++ }

// spend takes one retry from this router's part of the budget. It returns false and takes nothing if none is left.
func (b *budget) spend(now kernel.Micros, retry RetryBudget, routers int) bool {
	requests, retries := b.window(now, retry)
	allowed := budgetSafetyFactor * (retry.Ratio*float64(requests) + retry.slackAt(now)/float64(max(routers, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	b.slotAt(now, retry).retries++
	return true
}

// window counts the requests that certainly fall within the window that ends now, and the retries that may fall within
// it, so that its rounding to whole seconds never allows too many retries.
func (b *budget) window(now kernel.Micros, retry RetryBudget) (requests, retries int) {
	current := b.slotAt(now, retry)
	oldest := current.number - int64(len(b.seconds)) + 1
	for _, slot := range b.seconds {
		if slot.number < oldest {
			continue
		}
		retries += slot.retries
		// The two oldest seconds may lie outside the window.
		if slot.number > oldest+1 {
			requests += slot.requests
		}
	}
	return requests, retries
}

// budget returns the budget of a service.
func (c *Chooser) budget(service string) *budget {
	if c.budgets[service] == nil {
		c.budgets[service] = &budget{}
	}
	return c.budgets[service]
}

// spend takes one retry of a service from this router's part of the budget, and reports whether one was left.
func (c *Chooser) spend(now kernel.Micros, service string) bool {
	isSpent := c.budget(service).spend(now, c.retry, c.maxRouters)
	if isSpent {
		c.checkRetries(now, service)
	}
	return isSpent
}
