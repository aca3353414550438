package checker

// The rule that a run goes only where a configuration that may be in force permits it.

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// permission is a configuration as far as it permits runs.
type permission struct {
	sentAt, acknowledgedAt kernel.Micros
	revision               uint64 // zero: it was not acknowledged
	pools                  []string
}

// permissions are the configurations by their ids, without those that were rejected.
type permissions struct {
	byID map[string]*permission
	ids  []string // in the order in which they were sent
}

func permissionsOf(events []Event) permissions {
	found := permissions{byID: map[string]*permission{}}
	for _, event := range events {
		switch event.EventKind {
		case ConfigSent:
			if event.Pools != nil {
				found.byID[event.ID] = &permission{sentAt: event.At, pools: event.Pools}
				found.ids = append(found.ids, event.ID)
			}
		case ConfigAccepted:
			if known := found.byID[event.ID]; known != nil && known.revision == 0 {
				known.acknowledgedAt, known.revision = event.At, event.Revision
			}
		case ConfigRejected:
			delete(found.byID, event.ID) // it never takes effect, before or after
		}
	}
	return found
}

// isSuperseded reports whether a newer configuration was acknowledged longer ago than the old one may
// still be used.
func (p permissions) isSuperseded(old *permission, at, timeout kernel.Micros) bool {
	if old.revision == 0 {
		return false
	}
	for _, newer := range p.byID {
		if newer.revision > old.revision && at-newer.acknowledgedAt > timeout {
			return true
		}
	}
	return false
}

// permits reports whether a configuration that may be in force lets requests go to a pool.
func (p permissions) permits(pool string, at, timeout kernel.Micros) bool {
	return slices.ContainsFunc(p.ids, func(id string) bool {
		known := p.byID[id]
		return known != nil && known.sentAt <= at && slices.Contains(known.pools, pool) && !p.isSuperseded(known, at, timeout)
	})
}

// checkPermitted checks each run from outside, whatever a node says of itself: a configuration
// that may still have been in force has to let it go to that engine's pool.
func (c *historyChecker) checkPermitted(events []Event) {
	known := permissionsOf(events)
	if len(known.byID) == 0 {
		return
	}
	for _, event := range events {
		if event.EventKind == RunStarted && event.Pool != "" && !known.permits(event.Pool, event.At, c.bounds.StaleConfigTimeout) {
			c.violation(StaleConfigUsed, event.At, "%s began on %s of pool %s, which no configuration then in force permits", event.Tag, event.Engine, event.Pool)
		}
	}
}
