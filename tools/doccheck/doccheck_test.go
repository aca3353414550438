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

// pagesOf returns the Markdown pages of a repository: README, CONTRIBUTING and all pages under docs/.
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

func TestPagesReferToExistingNames(t *testing.T) {
	c := qt.New(t)
	root := os.DirFS(filepath.Join("..", ".."))
	pages := pagesOf(c, root)
	c.Assert(len(pages) > 50, qt.IsTrue, qt.Commentf("only %d pages were found", len(pages)))
	broken, err := Check(root, pages)
	c.Assert(err, qt.IsNil)
	for _, reference := range broken {
		c.Check(false, qt.IsTrue, qt.Commentf("%s", reference))
	}
}

// exampleTree returns a small repository with the given page, against which the page's references are checked.
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

func TestBrokenReferencesAreReported(t *testing.T) {
	for _, example := range []struct {
		name, page, content string
		want                []BrokenReference
	}{
		{"path", "docs/a.md", "`control/lease.go`, `control/gone.go`", []BrokenReference{{"docs/a.md", PathKind, "control/gone.go"}}},
		{"folder that is gone", "docs/a.md", "`gone/lease.go`", []BrokenReference{{"docs/a.md", PathKind, "gone/lease.go"}}},
		{"folder below a top folder", "docs/a.md", "`control/gone`, `control/`", []BrokenReference{{"docs/a.md", PathKind, "control/gone"}}},
		{"wildcard", "docs/a.md", "`control/lea*.go` `control/x*.go`", []BrokenReference{{"docs/a.md", PathKind, "control/x*.go"}}},
		{"bare name", "docs/a.md", "`lease.go` `gone.go` `report.json`", []BrokenReference{{"docs/a.md", PathKind, "gone.go"}}},
		{"line number", "docs/a.md", "`control/lease.go:12`", nil},
		{"program", "docs/a.md", "`bin/dunlinctl --x` `bin/stale`", []BrokenReference{{"docs/a.md", PathKind, "bin/stale"}}},
		{"package in a command", "docs/a.md", "`go run ./cmd/gone` `go vet ./...` `go test ./control`", []BrokenReference{{"docs/a.md", PathKind, "./cmd/gone"}}},
		{"no path of the repository", "docs/a.md", "`net/http` `GET /v1/x.json` `/tmp/x.go` `http://a/b.json`", nil},
		{"file of a node", "docs/a.md", "`journal/*.jsonl` `journal/gone.txt`", []BrokenReference{{"docs/a.md", PathKind, "journal/gone.txt"}}},
		{"over two lines", "docs/a.md", "a `go run\n./cmd/gone` b", []BrokenReference{{"docs/a.md", PathKind, "./cmd/gone"}}},
		{"unpaired backquote ends with its paragraph", "docs/a.md", "a ` b\n\n`control/gone.go`", []BrokenReference{{"docs/a.md", PathKind, "control/gone.go"}}},
		{"test", "docs/a.md", "`TestLease/part` `FuzzLease` `TestLea*` `TestGone`", []BrokenReference{{"docs/a.md", TestKind, "TestGone"}}},
		{"test in a hidden folder", "docs/a.md", "`TestHidden`", []BrokenReference{{"docs/a.md", TestKind, "TestHidden"}}},
		{"link", "docs/a.md", "[a](limits.md#x) [b](../README.md)\n[c](#here) [d](https://x/y.md)", []BrokenReference{{"docs/a.md", LinkKind, "../README.md"}}},
		{"link by name", "docs/a.md", "[a]\n\n[a]: gone.md", []BrokenReference{{"docs/a.md", LinkKind, "gone.md"}}},
		{"link out of the tree", "docs/a.md", "[a](../../x.md)", []BrokenReference{{"docs/a.md", LinkKind, "../../x.md"}}},
		{"no link within code", "docs/a.md", "`f[0](gone.md)`", nil},
		{"old measurement", "docs/measurements/a.md", "`control/gone.go` [a](gone.md) `TestGone`", []BrokenReference{
			{"docs/measurements/a.md", TestKind, "TestGone"}, {"docs/measurements/a.md", LinkKind, "gone.md"},
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			broken, err := Check(exampleTree(example.page, example.content), []string{example.page})
			c.Assert(err, qt.IsNil)
			c.Assert(broken, qt.DeepEquals, example.want)
		})
	}
}

func TestMissingPageIsAnError(t *testing.T) {
	_, err := Check(exampleTree("docs/a.md", ""), []string{"docs/gone.md"})
	qt.Assert(t, err, qt.ErrorIs, fs.ErrNotExist)
}
