package storage

import (
	"encoding/json"
	"testing"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/fuzzing"
)

// fuzzDocument returns a document as a leader would create it.
func fuzzDocument() *cluster.Document {
	document := documentAt(4, 9)
	document.Routers = []string{document.Voters[0].Address, document.Voters[1].Address}
	document.Coordinators["z1"] = document.Voters[0].Address
	document.AddSubmission(cluster.Submission{ID: "s", Digest: "d", Revision: 9})
	document.PutConfig([]byte(`{"ver":1}`), nil)
	return document
}

// seedFolders adds folders of each kind to the corpus, undamaged and with one file damaged.
func seedFolders(f *testing.F) {
	f.Helper()
	encoded := func(from any) string {
		content, err := json.Marshal(from)
		if err != nil {
			f.Fatal(err)
		}
		return string(content)
	}
	hardState, member, stored := encoded(cluster.HardState{Term: 4, VotedFor: "a"}), encoded(memberFile{Member: "b", Fleet: "f", Format: 1}), encoded(fuzzDocument())
	for _, texts := range [][3]string{{hardState, member, stored}, {"", member, stored}, {hardState, "", stored}, {hardState, encoded(memberFile{Member: "b", Fleet: "f", Format: 2}), stored}, {hardState, encoded(memberFile{Member: "b", Fleet: "g", Format: 1}), stored}} {
		f.Add([]byte(texts[0]), []byte(texts[1]), []byte(texts[2]), true)
		for i, text := range texts {
			for _, form := range fuzzing.Damage([]byte(text)) {
				damaged := [3][]byte{[]byte(texts[0]), []byte(texts[1]), []byte(texts[2])}
				damaged[i] = form
				f.Add(damaged[0], damaged[1], damaged[2], true)
				f.Add(damaged[0], damaged[1], damaged[2], false)
			}
		}
	}
}

// Opening any folder returns a typed error, a new member, or a member that still has the position that it
// acknowledged. A folder that is rejected is not changed.
func FuzzFolder(f *testing.F) {
	seedFolders(f)
	f.Fuzz(func(t *testing.T, ballot, member, stored []byte, hasChecksum bool) {
		disk := memoryFolder{}
		name := FileName(cluster.Position{Term: 4, Revision: 9})
		for file, content := range map[string][]byte{"ballot.json": ballot, "member.json": member, name: stored} {
			if hasChecksum {
				content = AddChecksum(content)
			}
			disk[file] = content
		}
		store, _, newest, err := OpenStore(disk, "f", func() string { return "fresh" })
		fuzzing.RequireErrorType(t, err, fuzzing.Is[DamagedFileError], fuzzing.Is[NewerFormatError], fuzzing.Is[kernel.DiskError])
		if err != nil {
			if len(disk) != 3 {
				t.Fatalf("a rejected folder was changed: it has %d files", len(disk))
			}
			return
		}
		if store.Member() != "fresh" && newest == nil && store.Acknowledged() != (cluster.Position{Term: 4, Revision: 9}) {
			t.Fatalf("the member lost the position that it acknowledged: %v", store.Acknowledged())
		}
		if err := store.Save(commands.Save{HardState: &cluster.HardState{Term: 5}, Document: fuzzDocument()}); err != nil {
			t.Fatal(err)
		}
	})
}
