package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunlinloom/internal/kernel"
)

// defaultContactTimeout is the ContactTimeout of a core if the settings have none.
const defaultContactTimeout = kernel.Second

// Dissemination is how far a revision had spread among the registered and reporting nodes when it was acknowledged.
type Dissemination struct {
	Revision uint64
	Applied  int // nodes that had reported it as applied
	// Lagging are the sorted addresses of the nodes that had reported within the contact time-out, but had not reported
	// the revision as applied. They may still serve requests by an older one.
	Lagging []string
	Silent  int // nodes that had neither reported it as applied nor reported at all within the contact time-out
}

// maxNamedNodes is the largest number of lagging nodes that one journal entry names.
const maxNamedNodes = 5

// String returns the dissemination in one line, for the journal.
func (d Dissemination) String() string {
	text := fmt.Sprintf("was disseminated: applied by %d nodes, not by %d that were heard from recently and %d that were not", d.Applied, len(d.Lagging), d.Silent)
	if len(d.Lagging) == 0 {
		return text
	}
	text += "; behind: " + strings.Join(d.Lagging[:min(len(d.Lagging), maxNamedNodes)], ", ")
	if len(d.Lagging) > maxNamedNodes {
		text += fmt.Sprintf(" and %d more", len(d.Lagging)-maxNamedNodes)
	}
	return text
}

// Dissemination describes the newest revision that this leader has acknowledged, at the time of the acknowledgement. It
// is zero if this member does not lead or has acknowledged nothing since it became the leader.
func (c *Core) Dissemination() Dissemination {
	if c.role != leader {
		return Dissemination{}
	}
	return c.dissemination
}

// recordDissemination records which nodes have applied a revision. It is called just before the revision is
// acknowledged.
func (c *Core) recordDissemination(revision uint64) {
	spread := Dissemination{Revision: revision}
	for _, address := range slices.Sorted(maps.Keys(c.nodeReports)) {
		report := c.nodeReports[address]
		switch {
		case report.applied >= revision:
			spread.Applied++
		case c.now-report.reportedAt < c.settings.ContactTimeout:
			spread.Lagging = append(spread.Lagging, address)
		default:
			spread.Silent++
		}
	}
	for _, address := range c.committed.Routers {
		if c.nodeReports[address] == nil {
			spread.Silent++
		}
	}
	c.dissemination = spread
}
