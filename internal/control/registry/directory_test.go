package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

func newTestDirectory(incarnation string) *Directory {
	return NewDirectory(incarnation, cluster.DefaultTiming(), func(decision.Subject, decision.Decision, string) {})
}

// changeAtRandom makes one random change of the kinds that occur in a directory.
func changeAtRandom(random *rand.Rand, now kernel.Micros, directory *Directory) {
	const engines, nodes = 40, 20
	number := random.Uint64N(1000)
	switch random.IntN(5) {
	case 0:
		directory.MergeRecord(now, EngineRecord{
			ID: fmt.Sprint("e", random.IntN(engines)), Address: "10.0.0.1:1", Zone: "z1", Start: 1 + random.Uint64N(3), Seq: number,
			IsDraining: random.IntN(20) == 0, SeenAt: now, StartedAt: now, ReportedAt: now,
		}, random.IntN(2) == 0)
	case 1:
		directory.MergeRecord(now, EngineRecord{
			ID: fmt.Sprint("a", random.IntN(engines)), Address: "10.0.0.2:1", Zone: "z2", Start: 1, AnnouncementSeq: 1 + number, Slots: random.IntN(3),
			IsUnlisted: random.IntN(5) == 0, IsUnresponsive: random.IntN(5) == 0, UnresponsiveSeq: number, SeenAt: now, StartedAt: now,
		}, random.IntN(2) == 0)
	case 2:
		listing := Listing{Revision: 1 + number}
		for i := range random.IntN(engines) {
			listing.Engines = append(listing.Engines, ListingEngine{ID: fmt.Sprint("e", i), Address: "10.0.0.3:1", Zone: "z1", Start: 1 + random.Uint64N(3), State: "serving"})
		}
		directory.MergeListing(now, listing)
	case 3:
		record := NodeRecord{Address: fmt.Sprint("n", random.IntN(nodes)), Zone: "z1", IsRouter: true, Start: 1, Seq: number, UpdatedAt: now}
		if random.IntN(3) > 0 {
			record.Zone = ""
		}
		directory.MergeNode(now, record, random.IntN(2) == 0)
	case 4:
		directory.Sweep(now)
	}
}

// An update reads only the newest entries of the list by revision, and digests are updated with each change. Both have
// to equal the result of a scan of all records.
func TestUpdatesAndDigestsMatchFullScan(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, seed))
			directory, now := newTestDirectory("i"), kernel.Micros(kernel.Second)
			for range 600 {
				now += kernel.Micros(random.Int64N(int64(kernel.Second)))
				if random.IntN(100) == 0 {
					now += EngineExpiry
				}
				changeAtRandom(random, now, directory)
				c.Assert(directory.Digests(), qt.DeepEquals, digestsOfAll(directory))
				seen, isOwnOnly := random.Uint64N(directory.Rev()+1), random.IntN(2) == 0
				update := directory.UpdateSince(now, "i", seen, isOwnOnly)
				c.Assert(idsOf(update), qt.DeepEquals, idsChangedSince(directory, seen, isOwnOnly))
			}
		})
	}
}

// digestsOfAll computes the digests from all engines.
func digestsOfAll(directory *Directory) []uint64 {
	digests := make([]uint64, rangeCount)
	for _, engine := range directory.Engines() {
		digests[rangeOf(engine.ID)] ^= engine.digest()
	}
	return digests
}

// idsOf lists the records of an update in their order, and for each whether it is a refresh ("brief").
func idsOf(update *DirectoryUpdate) []string {
	ids := []string{}
	for _, engine := range update.Engines {
		ids = append(ids, fmt.Sprint("engine ", engine.ID, " brief ", engine.Address == ""))
	}
	for _, node := range update.Nodes {
		ids = append(ids, fmt.Sprint("node ", node.Address, " brief ", node.isRefresh()))
	}
	return ids
}

// idsChangedSince computes from a scan of all records what idsOf has to return for an update.
func idsChangedSince(directory *Directory, seen uint64, isOwnOnly bool) []string {
	ids := []string{}
	isChanged := func(version recordVersion) bool { return version.rev > seen && (version.isLocal || !isOwnOnly) }
	for _, engine := range directory.Engines() {
		if version := directory.engines.version(engine.ID); isChanged(version) {
			ids = append(ids, fmt.Sprint("engine ", engine.ID, " brief ", version.stableRev <= seen || engine.Address == ""))
		}
	}
	for _, node := range directory.Nodes() {
		if version := directory.nodes.version(node.Address); isChanged(version) {
			ids = append(ids, fmt.Sprint("node ", node.Address, " brief ", version.stableRev <= seen))
		}
	}
	return ids
}

func TestTableKeepsBothOrders(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	records := newTable[int]()
	for revision := uint64(1); revision < 2000; revision++ {
		key := strconv.Itoa(random.IntN(50))
		if random.IntN(4) == 0 {
			records.remove(key)
		} else {
			records.set(key, int(revision), recordVersion{rev: revision})
		}
		c.Assert(slices.IsSortedFunc(records.sorted, func(left, right *entry[int]) int { return strings.Compare(left.key, right.key) }), qt.IsTrue)
		listed, last := 0, revision+1
		for each := records.newest; each != nil; each = each.older {
			c.Assert(each.version.rev < last, qt.IsTrue)
			c.Assert(records.byKey[each.key], qt.Equals, each)
			listed, last = listed+1, each.version.rev
		}
		c.Assert(listed, qt.Equals, len(records.byKey))
		c.Assert(len(records.sorted), qt.Equals, listed)
	}
}
