package control

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

const (
	goldenFleet  = "fleet <a>"
	goldenMember = cluster.MemberID("member <b>")
	goldenStart  = 77
)

// goldenDocument returns a document with all fields filled. Its own revision and the revision of its configuration are
// the same.
func goldenDocument(c *qt.C, term, revision uint64, config []byte) *cluster.Document {
	document := filled[*cluster.Document](c)
	document.Term, document.Revision, document.ConfigRevision, document.Config = term, revision, revision, config
	document.ConfigChain = []cluster.ConfigRef{{Revision: revision - 1, Digest: "digest <c>"}, cluster.ConfigRefOf(document)}
	return document
}

// goldenRecords are the records in the golden folders.
type goldenRecords struct {
	hardState, laterHardState       cluster.HardState
	acceptorState                   cluster.AcceptorState
	past, accepted                  []*cluster.Document
	withStoredConfig, withOwnConfig storage.Snapshot // only the first has a configuration that the folder holds
}

func newGoldenRecords(c *qt.C) goldenRecords {
	records := goldenRecords{
		hardState: filled[cluster.HardState](c), laterHardState: cluster.HardState{Term: 9}, acceptorState: filled[cluster.AcceptorState](c),
		past:             []*cluster.Document{goldenDocument(c, 3, 20, []byte(`{"ver":20}`)), goldenDocument(c, 3, 21, append(compressedConfig(), '\n'))},
		accepted:         []*cluster.Document{goldenDocument(c, 4, 40, []byte(`{"ver":40}`)), goldenDocument(c, 4, 41, compressedConfig())},
		withStoredConfig: filled[storage.Snapshot](c), withOwnConfig: filled[storage.Snapshot](c),
	}
	records.acceptorState.Acceptor = goldenMember
	for _, snapshot := range []*storage.Snapshot{&records.withStoredConfig, &records.withOwnConfig} {
		snapshot.Format, snapshot.Fleet = storage.SnapshotFormat, goldenFleet
	}
	records.withStoredConfig.Document = records.accepted[0]
	records.withOwnConfig.Document = goldenDocument(c, 4, 50, []byte(`{"ver":50}`))
	return records
}

func openGolden(c *qt.C, path string) (*storage.Store, *kernel.DiskFolder, cluster.HardState, *cluster.Document) {
	folder, err := kernel.OpenFolder(path)
	c.Assert(err, qt.IsNil)
	store, hardState, document, err := storage.OpenStore(folder, goldenFleet, func() string { return string(goldenMember) })
	c.Assert(err, qt.IsNil)
	return store, folder, hardState, document
}

// writeStore writes a folder with each kind of record.
func (r goldenRecords) writeStore(c *qt.C, path string) {
	store, _, _, _ := openGolden(c, path)
	c.Assert(store.Save(commands.Save{HardState: &r.hardState, AcceptorState: &r.acceptorState, Document: r.accepted[0]}), qt.IsNil)
	c.Assert(store.Save(commands.Save{Document: r.accepted[1]}), qt.IsNil)
	c.Assert(store.SaveHistory(r.past).Err, qt.IsNil)
	c.Assert(store.SaveSnapshot(&r.withStoredConfig), qt.IsNil)
	_, keep := store.NextStart(goldenStart)
	c.Assert(keep(), qt.IsNil)
}

// writeStoreAfterLoss writes a folder that has lost its newest document. It still holds the position of that document,
// which the member had acknowledged.
func (r goldenRecords) writeStoreAfterLoss(c *qt.C, path string) {
	store, folder, _, _ := openGolden(c, path)
	_, err := store.AcceptorState(true, []string{"seed <e>", "seed <d>"})
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &r.laterHardState, Document: r.accepted[0]}), qt.IsNil)
	c.Assert(store.Save(commands.Save{Document: r.accepted[1]}), qt.IsNil)
	lost := storage.FileName(r.accepted[1].Position())
	c.Assert(folder.Put(lost, []byte("damaged")), qt.IsNil)
	store, _, _, _ = openGolden(c, path)
	c.Assert(store.Quarantined(), qt.DeepEquals, []string{lost})
	c.Assert(store.SaveSnapshot(&r.withOwnConfig), qt.IsNil)
	c.Assert(folder.Remove("damaged-"+lost), qt.IsNil)
}

// checkGoldenFolder compares the files of a folder with the golden ones, and returns the path of a copy of the golden
// folder. Files have to be equal byte for byte. Only a file with a compressed configuration may differ in the
// compressed bytes: its checksum is verified, and its configuration is compared after decompression.
func checkGoldenFolder(c *qt.C, name, fresh string) (path string) {
	golden := filepath.Join(goldenPath, name)
	if *updateGolden {
		c.Assert(os.RemoveAll(golden), qt.IsNil)
		c.Assert(os.CopyFS(golden, os.DirFS(fresh)), qt.IsNil)
	}
	entries, err := os.ReadDir(fresh)
	c.Assert(err, qt.IsNil)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	c.Assert(names, qt.DeepEquals, goldenNames(c, name))
	for _, file := range names {
		contents, texts := [2][]byte{}, [2]string{}
		for i, folder := range []string{golden, fresh} {
			contents[i], err = os.ReadFile(filepath.Join(folder, file))
			c.Assert(err, qt.IsNil)
			sealed, err := storage.VerifyChecksum(file, contents[i])
			c.Assert(err, qt.IsNil)
			texts[i] = decompressConfigs(c, sealed)
		}
		c.Assert(texts[1], qt.Equals, texts[0], qt.Commentf("file %s", file))
		if !compressedConfigPattern.Match(contents[0]) {
			c.Assert(string(contents[1]), qt.Equals, string(contents[0]), qt.Commentf("file %s", file))
		}
	}
	path = c.TempDir()
	c.Assert(os.CopyFS(path, os.DirFS(golden)), qt.IsNil)
	return path
}

func TestStoreMatchesItsGoldenFolder(t *testing.T) {
	c := qt.New(t)
	records, fresh := newGoldenRecords(c), c.TempDir()
	records.writeStore(c, fresh)
	store, _, hardState, document := openGolden(c, checkGoldenFolder(c, "store", fresh))
	c.Assert(store.Quarantined(), qt.HasLen, 0)
	c.Assert(store.Member(), qt.Equals, goldenMember)
	c.Assert(hardState, qt.Equals, records.hardState)
	c.Assert(document, qt.DeepEquals, records.accepted[1])
	c.Assert(store.Acknowledged(), qt.Equals, records.accepted[1].Position())
	for _, kept := range append(records.past, records.accepted...) {
		found, err := store.ConfigAt(cluster.ConfigRefOf(kept))
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.DeepEquals, kept)
	}
	c.Assert(store.ConfigRevisions(), qt.DeepEquals, []uint64{20, 21, 40, 41})
	acceptorState, err := store.AcceptorState(false, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(acceptorState, qt.DeepEquals, &records.acceptorState)
	// The document of a snapshot is returned with the configuration that the folder holds, and without its
	// changes since earlier configurations.
	snapshot, err := store.Snapshot(goldenFleet)
	c.Assert(err, qt.IsNil)
	wanted := records.withStoredConfig
	wanted.Document = records.withStoredConfig.Document.WithoutConfig()
	wanted.Document.Config = records.withStoredConfig.Document.Config
	c.Assert(snapshot, qt.DeepEquals, &wanted)
	start, _ := store.NextStart(1)
	c.Assert(start, qt.Equals, uint64(goldenStart+1))
}

func TestStoreThatLostADocumentMatchesItsGoldenFolder(t *testing.T) {
	c := qt.New(t)
	records, fresh := newGoldenRecords(c), c.TempDir()
	records.writeStoreAfterLoss(c, fresh)
	store, _, hardState, document := openGolden(c, checkGoldenFolder(c, "store_lost", fresh))
	c.Assert(store.Quarantined(), qt.HasLen, 0)
	c.Assert(store.Member(), qt.Equals, goldenMember)
	c.Assert(hardState, qt.Equals, records.laterHardState)
	c.Assert(document, qt.DeepEquals, records.accepted[0])
	c.Assert(store.Acknowledged(), qt.Equals, records.accepted[1].Position())
	acceptorState, err := store.AcceptorState(false, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(acceptorState, qt.DeepEquals, &cluster.AcceptorState{Acceptor: goldenMember, Seeds: []string{"seed <d>", "seed <e>"}})
	snapshot, err := store.Snapshot(goldenFleet)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.DeepEquals, &records.withOwnConfig)
}

// storage.WriteRebuilt writes the folder of a rebuilt core. The folders of the other tests are written through a Store.
func TestRebuiltStoreMatchesItsGoldenFolder(t *testing.T) {
	c := qt.New(t)
	records, fresh := newGoldenRecords(c), c.TempDir()
	folder, err := kernel.OpenFolder(fresh)
	c.Assert(err, qt.IsNil)
	rebuilt := storage.Survivor{Member: goldenMember, Document: records.accepted[0]}.Rebuild(cluster.Member{ID: goldenMember, Address: "address <f>", Zone: "zone <g>"}, "founding <h>")
	c.Assert(storage.WriteRebuilt(folder, goldenFleet, rebuilt), qt.IsNil)
	store, _, hardState, document := openGolden(c, checkGoldenFolder(c, "store_rebuilt", fresh))
	c.Assert(store.Member(), qt.Equals, goldenMember)
	c.Assert(hardState, qt.Equals, cluster.HardState{Term: rebuilt.Term})
	c.Assert(document, qt.DeepEquals, rebuilt)
}

// The file of engines' ends, which a member reads again at its next start, also as another build.
func TestStoredEndsMatchTheirGoldenFolder(t *testing.T) {
	c := qt.New(t)
	ends, fresh := filled[storage.EngineEnds](c), c.TempDir()
	ends.Format, ends.Fleet = storage.EndsFormat, goldenFleet
	store, _, _, _ := openGolden(c, fresh)
	c.Assert(store.SaveEnds(&ends), qt.IsNil)
	store, _, _, _ = openGolden(c, checkGoldenFolder(c, "store_ends", fresh))
	found, err := store.Ends(goldenFleet)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Quarantined(), qt.HasLen, 0)
	c.Assert(found, qt.DeepEquals, &ends)
}
