package checker

// The rule that a request runs only on engines to which a configuration that may be in force permits it.

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// permission is the set of pools to which a configuration permits requests.
type permission struct {
	sentAt, acknowledgedAt kernel.Micros
	revision               uint64 // zero: it was not acknowledged
	pools                  []string
}

// permissions holds the configurations by id, except those that were rejected.
type permissions struct {
	byID map[string]*permission
	ids  []string // in order of sending
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
			delete(found.byID, event.ID) // a rejected configuration never takes effect
		}
	}
	return found
}

// isSuperseded reports whether a newer configuration was acknowledged more than the timeout before at, so
// that the old one may no longer be used.
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

// permits reports whether a configuration that may be in force at that time permits requests to the pool.
func (p permissions) permits(pool string, at, timeout kernel.Micros) bool {
	return slices.ContainsFunc(p.ids, func(id string) bool {
		known := p.byID[id]
		return known != nil && known.sentAt <= at && slices.Contains(known.pools, pool) && !p.isSuperseded(known, at, timeout)
	})
}

// checkPermitted checks that each run was permitted by a configuration that may have been in force. It
// relies on the operators' and engines' events alone, not on the revision that a node reports.
func (c *historyChecker) checkPermitted(events []Event) {
	known := permissionsOf(events)
	if len(known.byID) == 0 {
		return
	}
	for _, event := range events {
		if event.EventKind == RunStarted && event.Pool != "" && !known.permits(event.Pool, event.At, c.bounds.StaleConfigTimeout) {
			c.violation(StaleConfigUsed, event.At, "%s ran on %s of pool %s, which no configuration in force at that time permits", event.Tag, event.Engine, event.Pool)
		}
	}
}
