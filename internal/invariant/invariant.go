package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Name is the name of an invariant in metrics, the journal and logs.
type Name string

// The invariants of the control plane.
const (
	TermIsMonotonic           Name = "term_never_falls"         // the term does not decrease within one incarnation of a core
	OneLeaderPerTerm          Name = "one_leader_per_term"      // each member observes at most one leader per term
	CommittedIsMonotonic      Name = "committed_never_falls"    // the committed revision neither decreases nor changes its content
	SyncedIsAccepted          Name = "synced_is_accepted"       // a member has accepted everything that is on its disk
	AckIsCommitted            Name = "ack_is_committed"         // an acknowledged operation is in the committed document
	AppliedIsMonotonic        Name = "applied_never_falls"      // the applied revision does not decrease within one incarnation of a node
	ReadIsNewest              Name = "read_is_newest"           // a read is not older than what the node knew before it
	ConfirmedDrainIsPermanent Name = "confirmed_end_is_forever" // an engine whose drain was confirmed stays draining
)

// The invariants of the data plane.
const (
	RunsOnce               Name = "runs_once"             // a request that must not be repeated is not resent after it may have run
	AttemptsWithinLimit    Name = "tries_hold"            // a request may run on no more engines than its route allows
	NotRunIsProven         Name = "promise_is_proven"     // a status that means "not run" is returned only where that is proven
	ResponseMatchesRequest Name = "answer_is_ours"        // a relayed response has the id of its own request
	EventIDsIncrease       Name = "events_rise"           // the event ids within one response increase
	LoadIsBalanced         Name = "load_is_balanced"      // an engine's outstanding tokens are the sum over its attempts
	ConnectionsBalanced    Name = "connections_balanced"  // no connection is closed twice
	BodiesBalanced         Name = "bodies_balanced"       // no byte of a body is released twice
	RetriesWithinBudget    Name = "retries_within_budget" // a router's retries stay within the budget of the whole fleet
)

// Names returns the names of all invariants.
func Names() []Name {
	return []Name{
		TermIsMonotonic, OneLeaderPerTerm, CommittedIsMonotonic, SyncedIsAccepted, AckIsCommitted, AppliedIsMonotonic,
		ReadIsNewest, ConfirmedDrainIsPermanent,
		RunsOnce, AttemptsWithinLimit, NotRunIsProven, ResponseMatchesRequest, EventIDsIncrease, LoadIsBalanced,
		ConnectionsBalanced, BodiesBalanced, RetriesWithinBudget,
	}
}

// ViolationError says that an invariant was violated.
type ViolationError struct {
	Invariant Name
	Detail    string
}

func (err ViolationError) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", err.Invariant, err.Detail)
}

// Monitor counts violations of invariants. A nil monitor does nothing.
type Monitor struct {
	report func(ViolationError) // nil: not called
	lock   sync.Mutex
	counts map[Name]uint64
}

// NewMonitor returns a monitor that calls report, unless it is nil, with each violation. The calls are made one
// at a time with the monitor's lock held, so report must not call the monitor.
func NewMonitor(report func(ViolationError)) *Monitor {
	return &Monitor{report: report, counts: map[Name]uint64{}}
}

// Check counts and reports a violation if holds is false. Only then is the detail formatted, as by fmt.Sprintf.
func (m *Monitor) Check(name Name, holds bool, format string, args ...any) {
	if holds || m == nil {
		return
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.counts[name]++
	if m.report != nil {
		m.report(ViolationError{name, fmt.Sprintf(format, args...)})
	}
}

// Count is the number of violations of one invariant since its monitor was created.
type Count struct {
	Name  Name
	Count uint64
}

// Counts returns the count of every invariant, sorted by name.
func (m *Monitor) Counts() []Count {
	counts := make([]Count, 0, len(Names()))
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
