package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunlinloom/internal/kernel"
)

// defaultContactTimeout is how long after its last report a node counts as in touch where the settings say nothing.
const defaultContactTimeout = kernel.Second

// Dissemination is how far a revision had spread among the registered and reporting nodes when it was acknowledged.
type Dissemination struct {
	Revision uint64
	Applied  int // nodes that had reported it in force
	// Lagging are the nodes, sorted, that had reported within the contact timeout, but not that revision: they may still
	// serve callers by an older one.
	Lagging []string
	Silent  int // nodes that had neither reported it nor been heard within the contact timeout
}

// maxNamedNodes bounds how many nodes one journal entry names.
const maxNamedNodes = 5

// String is the dissemination in one line.
func (d Dissemination) String() string {
	text := fmt.Sprintf("has gone round: applied by %d nodes, not by %d that were heard lately and %d that were not", d.Applied, len(d.Lagging), d.Silent)
	if len(d.Lagging) == 0 {
		return text
	}
	text += "; behind: " + strings.Join(d.Lagging[:min(len(d.Lagging), maxNamedNodes)], ", ")
	if len(d.Lagging) > maxNamedNodes {
		text += fmt.Sprintf(" and %d more", len(d.Lagging)-maxNamedNodes)
	}
	return text
}

// Dissemination is that of the newest revision that this member acknowledged in its present leadership; zero: of none.
func (c *Core) Dissemination() Dissemination {
	if c.role != leader {
		return Dissemination{}
	}
	return c.dissemination
}

// recordDissemination notes how far a revision has spread that is about to be acknowledged.
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
