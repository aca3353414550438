package control

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// chainOf returns a document whose chain has count configurations of the given size, and the earlier documents that
// have a configuration, oldest first.
func chainOf(count, size int) (newest *cluster.Document, older []*cluster.Document) {
	newest = document(2, 1)
	for range count {
		older = append(older, newest)
		newest = newest.Next(2)
		newest.PutConfig([]byte(strings.Repeat("x", size-8)+fmt.Sprintf("%08d", newest.Revision)), nil)
	}
	return newest, older[1:]
}

// The core's own writes wait behind a write of past configurations, so the size of that write is bounded.
func TestAHistoryWriteIsBounded(t *testing.T) {
	t.Parallel()
	for _, example := range []struct{ size, most int }{
		{100, maxStoreConfigs}, {40 << 10, 6}, {1 << 20, 1},
	} {
		c := qt.New(t)
		newest, older := chainOf(40, example.size)
		b := newCoreHarness(c, cluster.HardState{Term: 2}, newest)
		b.core.committed = newest
		writes := []commands.SaveHistory{}
		collect := func() {
			for _, command := range b.core.takeCommands() {
				if saveHistory, isSaveHistory := command.(commands.SaveHistory); isSaveHistory {
					writes = append(writes, saveHistory)
				}
			}
		}
		for _, document := range older {
			b.core.onFetchConfigResponse(memberA.Address, &wire.FetchConfigResponse{Config: cluster.ConfigRefOf(document), Document: document})
			collect()
		}
		kept := 0
		for i := 0; i < len(writes); i++ {
			c.Assert(len(writes[i].Documents) <= example.most, qt.IsTrue, qt.Commentf("%d documents of %d bytes", len(writes[i].Documents), example.size))
			result := commands.SaveHistoryResult{}
			for _, document := range writes[i].Documents {
				result.Saved = append(result.Saved, document.ConfigRevision)
			}
			kept += len(result.Saved)
			b.core.HistoryStored(b.now, result)
			collect()
		}
		c.Assert(kept, qt.Equals, len(older))
		// The first configuration is written alone, and the others in as few writes as the bounds allow.
		c.Assert(len(writes) <= 1+(len(older)-1+example.most-1)/example.most, qt.IsTrue, qt.Commentf("%d writes", len(writes)))
	}
}

// A member has missed 64 changes, and its disk is 30 times as slow as usual. Its history is complete within two seconds
// beyond the time that its link needs for the missing configurations.
func TestAMemberOnASlowDiskIsCompleteSoon(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	example := catchUpCase{configBytes: 16 << 10, changeInterval: kernel.Second, initialChanges: 30, missedChanges: []int{64}, injectDiskFault: slowDisk}
	for _, result := range example.run(c, 1) {
		beyond := result.timeToComplete - result.linkTime()
		c.Logf("complete %d ms after the link's own time", beyond/ms)
		c.Assert(beyond < 2*kernel.Second, qt.IsTrue)
	}
}
