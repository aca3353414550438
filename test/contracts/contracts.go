// Package contracts holds the tests that every folder, store and transport has to pass,
// whether it is real or simulated.
//
// Folder, Store and Transport are called by a test of the kind, with functions that open an instance of
// it, and report through its testing.T, in subtests where there are parts. They call the functions from
// the goroutine of their test alone.
package contracts

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
)

// Document makes a document for tests, with a configuration that differs by configRevision.
func Document(revision, term, configRevision uint64) *cluster.Document {
	return &cluster.Document{
		ClusterID: "f", Revision: revision, Term: term, ConfigRevision: configRevision,
		Config: fmt.Appendf(nil, `{"bindings":[{"name":"b%d","shares":[{"weight":1}]}]}`, configRevision),
		Voters: []cluster.Member{{ID: "m", Address: "10.0.0.1:1", Zone: "z"}}, Coordinators: map[string]string{"z": "10.0.0.1:1"},
		DrainedZones: map[string]uint64{"z2": 2},
	}
}
