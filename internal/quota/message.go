package quota

import "dunlinloom/internal/kernel"

// Request reports a router's credits to the allocator, and what it needs beyond them.
type Request struct {
	Incarnation uint64        `json:"life"` // identifies the router's process
	Seq         uint64        `json:"seq"`  // counts the requests of an incarnation, from its number on
	Items       []RequestItem `json:"items,omitempty"`
}

// RequestItem reports on the claims of one tenant, either for its small or for its large requests. Amounts
// are in units.
type RequestItem struct {
	Tenant    string  `json:"tenant"`
	IsLarge   bool    `json:"large,omitempty"`
	Used      float64 `json:"used"`            // total of this incarnation
	Balance   float64 `json:"held,omitempty"`  // credits that may still be spent
	FirstNeed float64 `json:"first,omitempty"` // what the first pending claim needs beyond the balance
	Need      float64 `json:"need,omitempty"`  // what all pending claims need beyond the balance
	Want      float64 `json:"want,omitempty"`  // what the router seeks for predicted demand
}

func (i *RequestItem) key() creditKey { return creditKey{i.Tenant, i.IsLarge} }

// Grant answers the request with the same sequence number. A router applies it only while that request
// is its newest.
type Grant struct {
	Seq   uint64      `json:"seq"`
	Items []GrantItem `json:"items,omitempty"`
}

// GrantItem grants credits of one tenant.
type GrantItem struct {
	Tenant  string  `json:"tenant"`
	IsLarge bool    `json:"large,omitempty"`
	Amount  float64 `json:"amount,omitempty"` // units
	// RetryAfter is the delay until more may be available; zero: all that was needed is granted.
	RetryAfter kernel.Micros `json:"retry_after,omitempty"`
	// Share is the tenant's capacity divided by the number of routers, for small and large requests together. Zero:
	// unknown, as in grants of a leader that runs an earlier build.
	Share float64 `json:"share,omitempty"`
}

// creditKey identifies a tenant's credits for its small or its large requests.
type creditKey struct {
	tenant  string
	isLarge bool
}
