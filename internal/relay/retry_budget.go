package relay

import "dunlinloom/internal/kernel"

// retryBudget lets retries be only a small ratio of this router's own first attempts. Each router
// keeps to its own, so the fleet does too. The balance bounds what may be spent in all; the two
// windows bound how much of what a quiet hour saved may be spent within a minute.
type retryBudget struct {
	balance float64 // retries that are paid for
	ratio   float64 // what a first attempt pays in
	seconds [60]retryBudgetSecond
}

// retryBudgetSecond counts the attempts within one second of the clock.
type retryBudgetSecond struct {
	number          int64
	firsts, retries int
}

const (
	maxRetryBalance = 10
	shortWindow     = 10 // seconds
	longWindow      = 60 // seconds
	shortBurst      = 2  // how many times the ratio may be spent within the short window
)

func (b *retryBudget) second(now kernel.Micros) *retryBudgetSecond {
	number := int64(now / kernel.Second)
	second := &b.seconds[number%int64(len(b.seconds))]
	if second.number != number {
		*second = retryBudgetSecond{number: number}
	}
	return second
}

// deposit pays in for a first attempt.
func (b *retryBudget) deposit(now kernel.Micros) {
	b.balance = min(b.balance+b.ratio, maxRetryBalance)
	b.second(now).firsts++
}

// isWithinRatio tells whether one more retry keeps to a ratio within the last seconds. One in each
// window is always allowed: a router with few requests could otherwise never retry.
func (b *retryBudget) isWithinRatio(now kernel.Micros, window int64, ratio float64) bool {
	firsts, retries := 0, 0
	for _, second := range b.seconds {
		if second.number > int64(now/kernel.Second)-window {
			firsts, retries = firsts+second.firsts, retries+second.retries
		}
	}
	return float64(retries+1) <= max(1, ratio*float64(firsts))
}

// withdraw takes one retry off the budget and tells whether there was one.
func (b *retryBudget) withdraw(now kernel.Micros) bool {
	if b.balance < 1 || !b.isWithinRatio(now, shortWindow, shortBurst*b.ratio) || !b.isWithinRatio(now, longWindow, b.ratio) {
		return false
	}
	b.balance--
	b.second(now).retries++
	return true
}
