// Package contracts contains the conformance tests that every implementation of a folder, store or
// transport has to pass, whether it is real or simulated.
//
// A test of an implementation calls Folder, Store or Transport with functions that open an instance, and
// its own testing.T, which receives the failures. The functions are only called from the goroutine of
// that test or of its subtests.
package contracts

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
)

// Document returns a document for tests, whose configuration depends on configRevision.
func Document(revision, term, configRevision uint64) *cluster.Document {
	return &cluster.Document{
		ClusterID: "f", Revision: revision, Term: term, ConfigRevision: configRevision,
		Config: fmt.Appendf(nil, `{"bindings":[{"name":"b%d","shares":[{"weight":1}]}]}`, configRevision),
		Voters: []cluster.Member{{ID: "m", Address: "10.0.0.1:1", Zone: "z"}}, Coordinators: map[string]string{"z": "10.0.0.1:1"},
		DrainedZones: map[string]uint64{"z2": 2},
	}
}
