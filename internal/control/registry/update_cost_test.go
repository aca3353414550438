package registry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// The cost of an update depends on the number of changed records, not on the size of the directory. When each
// lease request scanned all records, the coordinator of a large fleet fell seconds behind.
func TestUpdateCostDependsOnChangedRecordsOnly(t *testing.T) {
	c := qt.New(t)
	allocations := func(engines, nodes int) float64 {
		now := 100 * kernel.Second
		d := NewDirectory("n1/1", cluster.SparseTiming(), func(decision.Subject, decision.Decision, string) {})
		for i := range engines {
			d.MergeEngine(now, EngineRecord{ID: fmt.Sprintf("engine-%04d", i), Address: "10.0.0.1:1", Zone: "z1", Start: 1, AnnouncementSeq: 1, SeenAt: now}, true)
		}
		for i := range nodes {
			d.MergeNode(now, NodeRecord{Address: fmt.Sprintf("10.0.1.%d:1", i), Zone: "z1", IsRouter: true, Start: 1, Seq: 1, UpdatedAt: now}, true)
		}
		seen := d.Rev()
		d.MergeNode(now, NodeRecord{Address: "10.0.1.0:1", Zone: "z1", IsRouter: true, Start: 1, Seq: 2, UpdatedAt: now}, true)
		digests := d.Digests()
		return testing.AllocsPerRun(20, func() {
			d.UpdateSince(now, "n1/1", seen, false)
			d.DifferingEngines(now, digests)
		})
	}
	small, large := allocations(4, 4), allocations(400, 400)
	c.Assert(large <= small+2, qt.IsTrue, qt.Commentf("%v allocations with 8 records, %v with 800", small, large))
}
