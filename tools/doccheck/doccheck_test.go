package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"
)

// pagesOf lists the Markdown pages of a repository: README, CONTRIBUTING and all under docs/.
func pagesOf(c *qt.C, root fs.FS) []string {
	pages := []string{"README.md", "CONTRIBUTING.md"}
	err := fs.WalkDir(root, "docs", func(name string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(name, ".md") {
			pages = append(pages, name)
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return pages
}

func TestPagesNameWhatIsThere(t *testing.T) {
	c := qt.New(t)
	root := os.DirFS(filepath.Join("..", ".."))
	pages := pagesOf(c, root)
	c.Assert(len(pages) > 50, qt.IsTrue, qt.Commentf("only %d pages were found", len(pages)))
	faults, err := Check(root, pages)
	c.Assert(err, qt.IsNil)
	for _, fault := range faults {
		c.Check(false, qt.IsTrue, qt.Commentf("%s", fault))
	}
}

// exampleTree is a small repository: what the examples name well or wrongly is held against it.
func exampleTree(page, content string) fstest.MapFS {
	return fstest.MapFS{
		"control/lease.go":        {Data: []byte("package control\n")},
		"control/lease_test.go":   {Data: []byte("func TestLease(t *testing.T) {}\nfunc FuzzLease(f *testing.F) {}\n")},
		"cmd/dunlinctl/main.go":   {Data: []byte("package main\n")},
		"bin/stale":               {Data: []byte("a program that is no longer built\n")},
		"docs/limits.md":          {Data: []byte("# Limits\n")},
		".git/hidden/old_test.go": {Data: []byte("func TestHidden(t *testing.T) {}\n")},
		page:                      {Data: []byte(content)},
	}
}

func TestFaultsOfAPage(t *testing.T) {
	for _, example := range []struct {
		name, page, content string
		want                []Fault
	}{
		{"path", "docs/a.md", "`control/lease.go`, `control/gone.go`", []Fault{{"docs/a.md", PathKind, "control/gone.go"}}},
		{"folder that is gone", "docs/a.md", "`gone/lease.go`", []Fault{{"docs/a.md", PathKind, "gone/lease.go"}}},
		{"folder below a top folder", "docs/a.md", "`control/gone`, `control/`", []Fault{{"docs/a.md", PathKind, "control/gone"}}},
		{"wildcard", "docs/a.md", "`control/lea*.go` `control/x*.go`", []Fault{{"docs/a.md", PathKind, "control/x*.go"}}},
		{"bare name", "docs/a.md", "`lease.go` `gone.go` `report.json`", []Fault{{"docs/a.md", PathKind, "gone.go"}}},
		{"line number", "docs/a.md", "`control/lease.go:12`", nil},
		{"program", "docs/a.md", "`bin/dunlinctl --x` `bin/stale`", []Fault{{"docs/a.md", PathKind, "bin/stale"}}},
		{"package in a command", "docs/a.md", "`go run ./cmd/gone` `go vet ./...` `go test ./control`", []Fault{{"docs/a.md", PathKind, "./cmd/gone"}}},
		{"no path of the repository", "docs/a.md", "`net/http` `GET /v1/x.json` `/tmp/x.go` `http://a/b.json`", nil},
		{"file of a node", "docs/a.md", "`journal/*.jsonl` `journal/gone.txt`", []Fault{{"docs/a.md", PathKind, "journal/gone.txt"}}},
		{"over two lines", "docs/a.md", "a `go run\n./cmd/gone` b", []Fault{{"docs/a.md", PathKind, "./cmd/gone"}}},
		{"unpaired backquote ends with its paragraph", "docs/a.md", "a ` b\n\n`control/gone.go`", []Fault{{"docs/a.md", PathKind, "control/gone.go"}}},
		{"test", "docs/a.md", "`TestLease/part` `FuzzLease` `TestLea*` `TestGone`", []Fault{{"docs/a.md", TestKind, "TestGone"}}},
		{"test in a hidden folder", "docs/a.md", "`TestHidden`", []Fault{{"docs/a.md", TestKind, "TestHidden"}}},
		{"link", "docs/a.md", "[a](limits.md#x) [b](../README.md)\n[c](#here) [d](https://x/y.md)", []Fault{{"docs/a.md", LinkKind, "../README.md"}}},
		{"link by name", "docs/a.md", "[a]\n\n[a]: gone.md", []Fault{{"docs/a.md", LinkKind, "gone.md"}}},
		{"link out of the tree", "docs/a.md", "[a](../../x.md)", []Fault{{"docs/a.md", LinkKind, "../../x.md"}}},
		{"no link within code", "docs/a.md", "`f[0](gone.md)`", nil},
		{"old measurement", "docs/measurements/a.md", "`control/gone.go` [a](gone.md) `TestGone`", []Fault{
			{"docs/measurements/a.md", TestKind, "TestGone"}, {"docs/measurements/a.md", LinkKind, "gone.md"},
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			faults, err := Check(exampleTree(example.page, example.content), []string{example.page})
			c.Assert(err, qt.IsNil)
			c.Assert(faults, qt.DeepEquals, example.want)
		})
	}
}

func TestAPageThatIsNotThere(t *testing.T) {
	_, err := Check(exampleTree("docs/a.md", ""), []string{"docs/gone.md"})
	qt.Assert(t, err, qt.ErrorIs, fs.ErrNotExist)
}
