// Package invariant counts violations of what must hold at every moment. The code that a violation
// would pass through checks it there; a Monitor counts, and hands each violation to whoever reports it.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Name names an invariant.
type Name string

// The invariants of the control plane.
const (
	TermIsMonotonic           Name = "term_never_falls"         // of one life of a core
	OneLeaderPerTerm          Name = "one_leader_per_term"      // as far as one member hears
	CommittedIsMonotonic      Name = "committed_never_falls"    // nor is a revision replaced by another of its number
	SyncedIsAccepted          Name = "synced_is_accepted"       // a member has accepted whatever its disk holds
	AckIsCommitted            Name = "ack_is_committed"         // an acknowledged order stands in the committed document
	AppliedIsMonotonic        Name = "applied_never_falls"      // of one life of a node
	ReadIsNewest              Name = "read_is_newest"           // a read is no older than what the node knew before it
	ConfirmedDrainIsPermanent Name = "confirmed_end_is_forever" // an engine whose end was confirmed stays leaving
)

// The invariants of the data plane.
const (
	RunsOnce               Name = "runs_once"             // what may not be repeated is not sent again after it may have run
	AttemptsWithinLimit    Name = "tries_hold"            // a request is sent to no more engines than its route allows
	NotRunIsProven         Name = "promise_is_proven"     // a status that promises "not run" is given only where that is proven
	ResponseMatchesRequest Name = "answer_is_ours"        // an answer that is relayed names its own request
	EventIDsIncrease       Name = "events_rise"           // the ids of the events of one answer rise
	LoadIsBalanced         Name = "load_is_balanced"      // an engine's outstanding tokens are those of its attempts
	ConnectionsBalanced    Name = "connections_balanced"  // no connection is closed twice
	BodiesBalanced         Name = "bodies_balanced"       // no byte of a body is given back twice
	RetriesWithinBudget    Name = "retries_within_budget" // a router's retries stay within the budget of the whole fleet
)

// Names gives all invariants.
func Names() []Name {
	return []Name{
		TermIsMonotonic, OneLeaderPerTerm, CommittedIsMonotonic, SyncedIsAccepted, AckIsCommitted, AppliedIsMonotonic, ReadIsNewest,
		ConfirmedDrainIsPermanent, RunsOnce, AttemptsWithinLimit, NotRunIsProven, ResponseMatchesRequest, EventIDsIncrease, LoadIsBalanced, ConnectionsBalanced,
		BodiesBalanced, RetriesWithinBudget,
	}
}

// Violation says that an invariant did not hold.
type Violation struct {
	Invariant Name
	Detail    string
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", v.Invariant, v.Detail)
}

// Monitor counts violations. A nil monitor counts none. It may be used by several goroutines.
type Monitor struct {
	report func(Violation)
	lock   sync.Mutex
	counts map[Name]uint64
}

// NewMonitor makes a monitor; report hears of each violation and may not call the monitor. Nil: nobody does.
func NewMonitor(report func(Violation)) *Monitor {
	return &Monitor{report: report, counts: map[Name]uint64{}}
}

// Check counts a violation unless the invariant holds. The detail is put together only then.
func (m *Monitor) Check(name Name, holds bool, format string, args ...any) {
	if holds || m == nil {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts[name]++
	if m.report != nil {
		m.report(Violation{name, fmt.Sprintf(format, args...)})
	}
}

// Count is how often an invariant was violated.
type Count struct {
	Name  Name
	Count uint64
}

// Counts gives every invariant with its count, in order of names.
func (m *Monitor) Counts() []Count {
	counts := []Count{}
	for _, name := range Names() {
		counts = append(counts, Count{name, m.count(name)})
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return counts
}

func (m *Monitor) count(name Name) uint64 {
	if m == nil {
		return 0
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.counts[name]
}
