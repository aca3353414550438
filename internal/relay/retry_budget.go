package relay

import "dunlinloom/internal/kernel"

// retryBudget limits retries to a ratio of this router's own first attempts. As each router stays within
// its own budget, the whole fleet stays within the ratio. The balance limits the retries in total. The two
// windows limit retries within a short time, so that a balance saved in a quiet hour can't be spent at once.
type retryBudget struct {
	balance float64 // retries available
	ratio   float64 // deposit of each first attempt
	seconds [60]retryBudgetSecond
}

// retryBudgetSecond counts the attempts within one second; number is that second of the clock.
type retryBudgetSecond struct {
	number                 int64
	firstAttempts, retries int
}

const (
	maxRetryBalance = 10
	shortWindow     = 10 // seconds
	longWindow      = 60 // seconds
	shortBurst      = 2  // the short window allows this multiple of the ratio
)

func (b *retryBudget) second(now kernel.Micros) *retryBudgetSecond {
	number := int64(now / kernel.Second)
	second := &b.seconds[number%int64(len(b.seconds))]
	if second.number != number {
		*second = retryBudgetSecond{number: number}
	}
	return second
}

// deposit counts a first attempt, and adds the part of a retry that it allows to the balance.
func (b *retryBudget) deposit(now kernel.Micros) {
	b.balance = min(b.balance+b.ratio, maxRetryBalance)
	b.second(now).firstAttempts++
}

// isWithinRatio reports whether one more retry keeps the retries of the last window seconds within a ratio of the first
// attempts in them. One retry in each window is always allowed; otherwise a router with few requests could never retry.
func (b *retryBudget) isWithinRatio(now kernel.Micros, window int64, ratio float64) bool {
	firstAttempts, retries := 0, 0
	for _, second := range b.seconds {
		if second.number > int64(now/kernel.Second)-window {
			firstAttempts, retries = firstAttempts+second.firstAttempts, retries+second.retries
		}
	}
	return float64(retries+1) <= max(1, ratio*float64(firstAttempts))
}

// withdraw charges one retry to the budget. It reports false and charges nothing if the budget does not
// allow a retry now.
func (b *retryBudget) withdraw(now kernel.Micros) bool {
	if b.balance < 1 || !b.isWithinRatio(now, shortWindow, shortBurst*b.ratio) || !b.isWithinRatio(now, longWindow, b.ratio) {
		return false
	}
	b.balance--
	b.second(now).retries++
	return true
}
