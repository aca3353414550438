package checker

// Rules about orders: nothing acknowledged is lost, nothing rejected takes effect.

import (
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

func (j *judge) configs(events []Event) {
	type seen struct {
		at       kernel.Micros
		revision uint64
	}
	acked, newest := []Event{}, map[string][]seen{}
	sent, rejected := map[string]string{}, map[string]string{}
	for _, event := range events {
		switch event.What {
		case ConfigSent:
			sent[event.ID] = event.Digest
		case ConfigYes:
			acked = append(acked, event)
			if reason, isRejected := rejected[event.ID]; isRejected {
				j.violation(NoTookEffect, event.At, "submission %s was rejected (%s) and then acknowledged", event.ID, reason)
			}
		case ConfigNo:
			rejected[event.ID] = event.Reason
		case ConfigRead:
			j.readBack(event, acked, sent, rejected)
		case CallEnded:
			if event.Revision == 0 || event.Outcome == Unreached || event.Outcome == NoAck {
				continue
			}
			for _, yes := range acked {
				// A request that came in after the grace must be under the new configuration.
				if event.Revision < yes.Revision && event.Began-yes.At > j.bounds.OldConfig {
					j.violation(ConfigOld, event.At, "%s by %s under %d, sent %d us after %d was acknowledged", event.Tag, event.Node, event.Revision, event.Began-yes.At, yes.Revision)
					break
				}
			}
			// Slipping back is judged between requests that did not overlap.
			for _, earlier := range newest[event.Node] {
				if event.Began-earlier.at > j.bounds.SlipBack && event.Revision < earlier.revision {
					j.violation(ConfigSlipped, event.At, "%s by %s under %d after %d", event.Tag, event.Node, event.Revision, earlier.revision)
					break
				}
			}
			marks := newest[event.Node]
			if len(marks) == 0 || event.Revision > marks[len(marks)-1].revision {
				newest[event.Node] = append(marks, seen{event.At, event.Revision})
			}
		}
	}
}

// readBack checks what an operator read under a revision.
func (j *judge) readBack(read Event, acked []Event, sent, rejected map[string]string) {
	for _, yes := range acked {
		if yes.Revision == read.Revision && yes.Digest != read.Digest {
			j.violation(AckLost, read.At, "revision %d reads %q, acknowledged was %q", read.Revision, read.Digest, yes.Digest)
		}
	}
	for id := range rejected {
		digest, isSent := sent[id]
		if isSent && digest == read.Digest && digest != "" {
			j.violation(NoTookEffect, read.At, "submission %s was rejected, yet revision %d is its configuration", id, read.Revision)
		}
	}
}

// orders checks that what is ordered once all is well is answered soon, with a yes to at least one.
func (j *judge) orders(events []Event, settled kernel.Micros, isWanted bool) {
	last := events[len(events)-1].At
	ended, isYes := map[string]kernel.Micros{}, false
	for _, event := range events {
		if event.What == ConfigYes || event.What == ConfigNo {
			ended[event.ID] = event.At
		}
	}
	for _, event := range events {
		if event.What != ConfigSent || event.At < settled {
			continue
		}
		at, hasEnded := ended[event.ID]
		if !hasEnded {
			at = last
		}
		if at-event.At > j.bounds.OrderDue {
			j.violation(BrokenLong, at, "order %s, sent with all repaired, had no answer for %d us", event.ID, at-event.At)
		}
	}
	for _, event := range events {
		isYes = isYes || event.What == ConfigYes && event.At > settled
	}
	if isWanted && !isYes {
		j.violation(BrokenLong, last, "no order got a yes once all was repaired")
	}
}

// history checks what an operator read at the end: every acknowledged revision
// within the stated past, the configuration in force, and the emptied zones.
func (j *judge) history(events []Event) {
	var acked []Event
	zones := newDrains()
	read, isReading := map[uint64]bool{}, false
	for _, event := range events {
		zones.take(event)
		switch event.What {
		case ConfigYes:
			acked = append(acked, event)
		case ConfigRead:
			read[event.Revision], isReading = true, true
		case ConfigCurrent:
			for _, yes := range acked {
				if yes.Revision > event.Revision {
					j.violation(AckLost, event.At, "revision %d is read as the one in force, %d was acknowledged", event.Revision, yes.Revision)
					break
				}
			}
		case ZonesRead:
			for zone := range zones.since {
				if !slices.Contains(event.Zones, zone) {
					j.violation(AckLost, event.At, "zone %s was emptied with a yes and reads as filled", zone)
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
			j.violation(AckLost, events[len(events)-1].At, "revision %d was acknowledged and could not be read", yes.Revision)
		}
	}
}
