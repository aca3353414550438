package checker

// Rules about operations: nothing acknowledged is lost, nothing rejected takes effect.

import (
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// seenRevision is a revision and when a node first served a request under it.
type seenRevision struct {
	at       kernel.Micros
	revision uint64
}

// configChecker tracks the configurations of a history.
type configChecker struct {
	*historyChecker
	accepted []Event
	sent     map[string]string         // digests by id
	rejected map[string]string         // reasons by id
	newest   map[string][]seenRevision // by node, in ascending order
}

// checkConfigs checks that acknowledged configurations read back unchanged, that rejected ones took no
// effect, and that requests were served under a current revision.
func (c *historyChecker) checkConfigs(events []Event) {
	configs := configChecker{historyChecker: c, sent: map[string]string{}, rejected: map[string]string{}, newest: map[string][]seenRevision{}}
	for _, event := range events {
		configs.apply(event)
	}
}

func (c *configChecker) apply(event Event) {
	switch event.EventKind {
	case ConfigSent:
		c.sent[event.ID] = event.Digest
	case ConfigAccepted:
		c.accepted = append(c.accepted, event)
		if reason, isRejected := c.rejected[event.ID]; isRejected {
			c.violation(RejectedTookEffect, event.At, "submission %s was rejected (%s) and then acknowledged", event.ID, reason)
		}
	case ConfigRejected:
		c.rejected[event.ID] = event.Reason
	case ConfigRead:
		c.checkRead(event, c.accepted, c.sent, c.rejected)
	case CallEnded:
		if event.Outcome == Served && event.Revision == 0 && len(c.accepted) > 0 {
			c.violation(StaleConfigUsed, event.At, "response to %s by %s does not name the revision it was served under", event.Tag, event.Node)
		}
		if event.Revision > 0 && event.Outcome != Unreached && event.Outcome != NoResponse {
			c.checkServedRevision(event)
		}
	}
}

// checkServedRevision checks the revision under which a node served a call.
func (c *configChecker) checkServedRevision(call Event) {
	for _, acceptance := range c.accepted {
		// A request sent after the timeout must be served under the new configuration.
		if call.Revision < acceptance.Revision && call.StartedAt-acceptance.At > c.bounds.StaleConfigTimeout {
			c.violation(StaleConfigUsed, call.At, "%s was answered by %s under revision %d, but sent %d us after revision %d was acknowledged", call.Tag, call.Node, call.Revision, call.StartedAt-acceptance.At, acceptance.Revision)
			break
		}
	}
	revisions := c.newest[call.Node]
	// Only requests that did not overlap can show a regression.
	for _, earlier := range revisions {
		if call.StartedAt-earlier.at > c.bounds.RegressionTimeout && call.Revision < earlier.revision {
			c.violation(ConfigRegressed, call.At, "%s was answered by %s under revision %d, after an answer under revision %d", call.Tag, call.Node, call.Revision, earlier.revision)
			break
		}
	}
	if len(revisions) == 0 || call.Revision > revisions[len(revisions)-1].revision {
		c.newest[call.Node] = append(revisions, seenRevision{call.At, call.Revision})
	}
}

// checkRead checks that a revision reads as it was acknowledged, and that no rejected configuration is read.
func (c *historyChecker) checkRead(read Event, accepted []Event, sent, rejected map[string]string) {
	for _, acceptance := range accepted {
		if acceptance.Revision == read.Revision && acceptance.Digest != read.Digest {
			c.violation(AcknowledgedLost, read.At, "revision %d reads %q, acknowledged was %q", read.Revision, read.Digest, acceptance.Digest)
		}
	}
	for id := range rejected {
		digest, isSent := sent[id]
		if isSent && digest == read.Digest && digest != "" {
			c.violation(RejectedTookEffect, read.At, "submission %s was rejected, yet revision %d is its configuration", id, read.Revision)
		}
	}
}

// checkOperations checks that operations sent from the recovery deadline on are answered within
// OperationTimeout and, if isAcceptanceWanted is set, that at least one is accepted.
func (c *historyChecker) checkOperations(events []Event, recoveryDeadline kernel.Micros, isAcceptanceWanted bool) {
	last := events[len(events)-1].At
	ended, isAccepted := map[string]kernel.Micros{}, false
	for _, event := range events {
		if event.EventKind == ConfigAccepted || event.EventKind == ConfigRejected {
			ended[event.ID] = event.At
		}
	}
	for _, event := range events {
		if event.EventKind != ConfigSent || event.At < recoveryDeadline {
			continue
		}
		at, hasEnded := ended[event.ID]
		if !hasEnded {
			at = last
		}
		if at-event.At > c.bounds.OperationTimeout {
			c.violation(RecoveryTooSlow, at, "operation %s, sent after the recovery deadline, had no answer for %d us", event.ID, at-event.At)
		}
	}
	for _, event := range events {
		isAccepted = isAccepted || event.EventKind == ConfigAccepted && event.At > recoveryDeadline
	}
	if isAcceptanceWanted && !isAccepted {
		c.violation(RecoveryTooSlow, last, "no operation was acknowledged after the recovery deadline")
	}
}

// checkFinalReads checks what operators read at the end of a run: every acknowledged revision
// within Bounds.History, the configuration in force, and the drained zones.
func (c *historyChecker) checkFinalReads(events []Event) {
	var accepted []Event
	zones := newDrainedZones()
	read, isReading, isRepaired := map[uint64]bool{}, false, false
	for _, event := range events {
		zones.apply(event)
		switch event.EventKind {
		case ConfigAccepted:
			accepted = append(accepted, event)
		case ConfigRead:
			read[event.Revision], isReading = true, true
		case Repaired:
			isRepaired = true
		case ConfigCurrent:
			c.checkCurrent(event, accepted)
		case ZonesRead:
			c.checkZonesRead(event, zones)
		}
	}
	if !isReading {
		if isRepaired && len(accepted) > 0 {
			c.violation(AcknowledgedLost, events[len(events)-1].At, "%d revisions were acknowledged, but none was read back", len(accepted))
		}
		return
	}
	sort.Slice(accepted, func(a, b int) bool { return accepted[a].Revision > accepted[b].Revision })
	for _, acceptance := range accepted[:min(len(accepted), c.bounds.History)] {
		if !read[acceptance.Revision] {
			c.violation(AcknowledgedLost, events[len(events)-1].At, "revision %d was acknowledged but was not read back", acceptance.Revision)
		}
	}
}

// checkCurrent checks that the configuration in force is not older than an acknowledged one.
func (c *historyChecker) checkCurrent(current Event, accepted []Event) {
	for _, acceptance := range accepted {
		if acceptance.Revision > current.Revision {
			c.violation(AcknowledgedLost, current.At, "revision %d is read as the one in force, but %d was acknowledged", current.Revision, acceptance.Revision)
			return
		}
	}
}

// checkZonesRead checks that every zone whose drain was acknowledged reads as drained.
func (c *historyChecker) checkZonesRead(read Event, zones *drainedZones) {
	for zone := range zones.since {
		if !slices.Contains(read.Zones, zone) {
			c.violation(AcknowledgedLost, read.At, "the drain of zone %s was acknowledged, but the zone is not read as drained", zone)
		}
	}
}
