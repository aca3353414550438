package checker

// Rules about orders: nothing acknowledged is lost, nothing rejected takes effect.

import (
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

func (j *historyChecker) configs(events []Event) {
	type seen struct {
		at       kernel.Micros
		revision uint64
	}
	acked, newest := []Event{}, map[string][]seen{}
	sent, rejected := map[string]string{}, map[string]string{}
	for _, event := range events {
		switch event.EventKind {
		case ConfigSent:
			sent[event.ID] = event.Digest
		case ConfigAccepted:
			acked = append(acked, event)
			if reason, isRejected := rejected[event.ID]; isRejected {
				j.violation(RejectedTookEffect, event.At, "submission %s was rejected (%s) and then acknowledged", event.ID, reason)
			}
		case ConfigRejected:
			rejected[event.ID] = event.Reason
		case ConfigRead:
			j.readBack(event, acked, sent, rejected)
		case CallEnded:
			if event.Revision == 0 || event.Outcome == Unreached || event.Outcome == NoResponse {
				continue
			}
			for _, yes := range acked {
				// A request that came in after the grace must be under the new configuration.
				if event.Revision < yes.Revision && event.StartedAt-yes.At > j.bounds.StaleConfigTimeout {
					j.violation(StaleConfigUsed, event.At, "%s by %s under %d, sent %d us after %d was acknowledged", event.Tag, event.Node, event.Revision, event.StartedAt-yes.At, yes.Revision)
					break
				}
			}
			// Slipping back is judged between requests that did not overlap.
			for _, earlier := range newest[event.Node] {
				if event.StartedAt-earlier.at > j.bounds.RegressionTimeout && event.Revision < earlier.revision {
					j.violation(ConfigRegressed, event.At, "%s by %s under %d after %d", event.Tag, event.Node, event.Revision, earlier.revision)
					break
				}
			}
			revisions := newest[event.Node]
			if len(revisions) == 0 || event.Revision > revisions[len(revisions)-1].revision {
				newest[event.Node] = append(revisions, seen{event.At, event.Revision})
			}
		}
	}
}

// readBack checks what an operator read under a revision.
func (j *historyChecker) readBack(read Event, acked []Event, sent, rejected map[string]string) {
	for _, yes := range acked {
		if yes.Revision == read.Revision && yes.Digest != read.Digest {
			j.violation(AcknowledgedLost, read.At, "revision %d reads %q, acknowledged was %q", read.Revision, read.Digest, yes.Digest)
		}
	}
	for id := range rejected {
		digest, isSent := sent[id]
		if isSent && digest == read.Digest && digest != "" {
			j.violation(RejectedTookEffect, read.At, "submission %s was rejected, yet revision %d is its configuration", id, read.Revision)
		}
	}
}

// operations checks that what is ordered once all is well is answered soon, with a yes to at least one.
func (j *historyChecker) operations(events []Event, recoveryDeadline kernel.Micros, isWanted bool) {
	last := events[len(events)-1].At
	ended, isYes := map[string]kernel.Micros{}, false
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
		if at-event.At > j.bounds.OperationTimeout {
			j.violation(RecoveryTooSlow, at, "order %s, sent with all repaired, had no answer for %d us", event.ID, at-event.At)
		}
	}
	for _, event := range events {
		isYes = isYes || event.EventKind == ConfigAccepted && event.At > recoveryDeadline
	}
	if isWanted && !isYes {
		j.violation(RecoveryTooSlow, last, "no order got a yes once all was repaired")
	}
}

// history checks what an operator read at the end: every acknowledged revision
// within the stated past, the configuration in force, and the emptied zones.
func (j *historyChecker) history(events []Event) {
	var acked []Event
	zones := newDrainedZones()
	read, isReading := map[uint64]bool{}, false
	for _, event := range events {
		zones.apply(event)
		switch event.EventKind {
		case ConfigAccepted:
			acked = append(acked, event)
		case ConfigRead:
			read[event.Revision], isReading = true, true
		case ConfigCurrent:
			for _, yes := range acked {
				if yes.Revision > event.Revision {
					j.violation(AcknowledgedLost, event.At, "revision %d is read as the one in force, %d was acknowledged", event.Revision, yes.Revision)
					break
				}
			}
		case ZonesRead:
			for zone := range zones.since {
				if !slices.Contains(event.Zones, zone) {
					j.violation(AcknowledgedLost, event.At, "zone %s was emptied with a yes and reads as filled", zone)
				}
			}
		}
	}
	if !isReading {
		return
	}
	sort.Slice(acked, func(a, b int) bool { return acked[a].Revision > acked[b].Revision })
	for _, yes := range acked[:min(len(acked), j.bounds.History)] {
		if !read[yes.Revision] {
			j.violation(AcknowledgedLost, events[len(events)-1].At, "revision %d was acknowledged and could not be read", yes.Revision)
		}
	}
}
