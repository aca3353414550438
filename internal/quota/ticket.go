package quota

import "dunlinloom/internal/kernel"

// Outcome is the result of a request's claim on its tenant's quota.
type Outcome int

// The outcomes of a claim.
const (
	Pending     Outcome = iota // the claim waits for the answer to a quota request, which may not be sent yet
	Granted                    // the request may be sent
	OverQuota                  // the tenant's quota is exhausted
	NoAllocator                // no allocator answers, or the ticket was abandoned or refunded
)

// Ticket is a request's claim. All fields but Done are guarded by the lock of the account;
// [Account.Outcome] reads the outcome.
type Ticket struct {
	key        creditKey
	cost       float64
	requestSeq uint64 // the newest quota request that reported the claim; zero: none yet
	epoch      uint64 // the account's epoch when the claim was granted
	grantedSeq uint64 // the newest quota request when the claim was granted
	// Done is closed when the outcome is no longer Pending.
	Done       chan struct{}
	outcome    Outcome
	retryAfter kernel.Micros
}

// Counts sums up the results of a tenant's claims at this router: the units granted, the units rejected
// because the quota was exhausted, and the number of claims that no allocator answered.
type Counts struct {
	Granted, Over float64
	Unanswered    uint64
}

func (c *Counts) add(other Counts) {
	c.Granted += other.Granted
	c.Over += other.Over
	c.Unanswered += other.Unanswered
}
