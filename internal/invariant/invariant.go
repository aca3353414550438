package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Name is the name of an invariant, as metrics, the journal and logs have it.
type Name string

// The invariants of the control plane.
const (
	TermIsMonotonic           Name = "term_never_falls"         // of one incarnation of a core
	OneLeaderPerTerm          Name = "one_leader_per_term"      // as far as one member observes
	CommittedIsMonotonic      Name = "committed_never_falls"    // nor is a revision replaced by another of its number
	SyncedIsAccepted          Name = "synced_is_accepted"       // a member has accepted whatever is on its disk
	AckIsCommitted            Name = "ack_is_committed"         // an acknowledged operation is in the committed document
	AppliedIsMonotonic        Name = "applied_never_falls"      // of one incarnation of a node
	ReadIsNewest              Name = "read_is_newest"           // a read is no older than what the node knew before it
	ConfirmedDrainIsPermanent Name = "confirmed_end_is_forever" // an engine whose end was confirmed stays draining
)

// The invariants of the data plane.
const (
	RunsOnce               Name = "runs_once"             // a request that must not be repeated is not sent again after it may have run
	AttemptsWithinLimit    Name = "tries_hold"            // a request is sent to no more engines than its route allows
	NotRunIsProven         Name = "promise_is_proven"     // a status that promises "not run" is given only where that is proven
	ResponseMatchesRequest Name = "answer_is_ours"        // a response that is relayed names its own request
	EventIDsIncrease       Name = "events_rise"           // the ids of the events of one response rise
	LoadIsBalanced         Name = "load_is_balanced"      // an engine's outstanding tokens are those of its attempts
	ConnectionsBalanced    Name = "connections_balanced"  // no connection is closed twice
	BodiesBalanced         Name = "bodies_balanced"       // no byte of a body is released twice
	RetriesWithinBudget    Name = "retries_within_budget" // a router's retries stay within the budget of the whole fleet
)

// Names returns all invariants.
func Names() []Name {
	return []Name{
		TermIsMonotonic, OneLeaderPerTerm, CommittedIsMonotonic, SyncedIsAccepted, AckIsCommitted, AppliedIsMonotonic,
		ReadIsNewest, ConfirmedDrainIsPermanent,
		RunsOnce, AttemptsWithinLimit, NotRunIsProven, ResponseMatchesRequest, EventIDsIncrease, LoadIsBalanced,
		ConnectionsBalanced, BodiesBalanced, RetriesWithinBudget,
	}
}

// ViolationError says that an invariant did not hold.
type ViolationError struct {
	Invariant Name
	Detail    string
}

func (err ViolationError) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", err.Invariant, err.Detail)
}

// Monitor counts violations. A nil monitor counts none.
type Monitor struct {
	report func(ViolationError) // nil: not called
	lock   sync.Mutex
	counts map[Name]uint64
}

// NewMonitor makes a monitor. It calls report, which may be nil, with each violation, one at a time and with
// its lock held: report must not call the monitor.
func NewMonitor(report func(ViolationError)) *Monitor {
	return &Monitor{report: report, counts: map[Name]uint64{}}
}

// Check counts a violation unless the invariant holds. Only then the detail is formatted, as by fmt.Sprintf.
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

// Count is the number of violations of an invariant since the start of its monitor.
type Count struct {
	Name  Name
	Count uint64
}

// Counts returns every invariant with its count, sorted by name.
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
