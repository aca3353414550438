package control

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

const largeSubmission = 1 << 20

// A large submission that waits for its answer is repeated by its id alone. It is sent in full again only if a leader
// answers that it lacks the submission, or does not answer a retry.
func TestALargeSubmissionIsRepeatedByItsID(t *testing.T) {
	t.Parallel()
	isResponse := func(m wire.Message) bool { return m.SubmitResponse != nil }
	for _, test := range []struct {
		name string
		// lose returns a function that reports whether a message is lost, by the time since the submission and by its
		// content.
		lose                         func() func(since kernel.Micros, m wire.Message) bool
		killsLeader                  bool
		minFullCopies, maxFullCopies int
	}{
		{"the leader answers late", func() func(kernel.Micros, wire.Message) bool {
			return func(since kernel.Micros, m wire.Message) bool { return isResponse(m) && since < 3*kernel.Second }
		}, false, 1, 1},
		{"the first copy is lost", func() func(kernel.Micros, wire.Message) bool {
			copies := 0
			return func(_ kernel.Micros, m wire.Message) bool {
				if m.Submit != nil {
					copies++
				}
				return m.Submit != nil && copies == 1
			}
		}, false, 2, 2},
		{"every second retry is lost", func() func(kernel.Micros, wire.Message) bool {
			retries := 0
			return func(since kernel.Micros, m wire.Message) bool {
				if m.SubmitRetry != nil {
					retries++
				}
				return m.SubmitRetry != nil && retries%2 == 0 || isResponse(m) && since < 3*kernel.Second
			}
		}, false, 2, 3},
		{"the leader runs a build without such retries", func() func(kernel.Micros, wire.Message) bool {
			return func(since kernel.Micros, m wire.Message) bool {
				return m.SubmitRetry != nil || isResponse(m) && since < 3*kernel.Second
			}
		}, false, 2, 4},
		{"the leader dies before it answers", func() func(kernel.Micros, wire.Message) bool {
			return func(kernel.Micros, wire.Message) bool { return false }
		}, true, 1, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				c := qt.New(t)
				fullCopies := submitLarge(c, seed, test.killsLeader, test.lose())
				c.Assert(fullCopies >= test.minFullCopies && fullCopies <= test.maxFullCopies, qt.IsTrue, qt.Commentf("seed %d: %d full copies", seed, fullCopies))
			}
		})
	}
}

// submitLarge submits a large configuration, which has to be accepted, and returns how many full copies were sent.
func submitLarge(c *qt.C, seed uint64, killsLeader bool, isLost func(since kernel.Micros, m wire.Message) bool) (fullCopies int) {
	f := newFleet(c, seed, 3, 9, firstHaveFolders(4))
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.SubmitTimeout = 20 * kernel.Second
	}
	f.bootAll(500 * ms)
	f.awaitStable(6 * kernel.Second)
	sentAt := f.now
	f.executor = func(n *fleetNode, command commands.Command) bool {
		outgoing, isOutgoing := command.(Outgoing)
		if !isOutgoing || outgoing.Envelope.To == n.identity.Address {
			return false
		}
		if outgoing.Envelope.Message.Submit != nil {
			fullCopies++
		}
		return isLost(f.now-sentAt, outgoing.Envelope.Message)
	}
	f.nodes[8].submit("large", 0, configOf(1, strings.Repeat("a", largeSubmission)))
	if killsLeader {
		f.schedule(20*ms, f.leader().kill)
	}
	f.await("the acceptance", 19*kernel.Second, func() bool { return f.replies["large"].ID != "" })
	c.Assert(f.replies["large"].Outcome, qt.Equals, cluster.Accepted)
	return fullCopies
}
