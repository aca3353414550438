package loadgen

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A list of nodes that becomes empty or unreadable must not replace the current nodes, or callers would have no node.
func TestUnusableNodeListKeepsTheNodes(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "nodes.json")
	write := func(content string) { c.Assert(os.WriteFile(file, []byte(content), 0o600), qt.IsNil) }
	for _, unusable := range []string{"[]", "null", "{", ""} {
		write(unusable)
		_, err := NewPlatform(nil, file)
		c.Assert(err, qt.ErrorAs, new(FileError), qt.Commentf("%q", unusable))
	}
	_, err := NewPlatform(nil, "")
	c.Assert(err, qt.ErrorAs, new(NoNodesError))

	write(`[{"address":"a:1","zone":"z1"}]`)
	platform, err := NewPlatform(nil, file)
	c.Assert(err, qt.IsNil)
	c.Assert(platform.NodeFor(5, 1), qt.Equals, "a:1")
	for _, unusable := range []string{"[]", "null", "{"} {
		write(unusable)
		c.Assert(platform.reload(), qt.ErrorAs, new(FileError))
		c.Assert(platform.NodeFor(5, 1), qt.Equals, "a:1", qt.Commentf("%q", unusable))
	}
	write(`[{"address":"b:1","zone":"z1"}]`)
	c.Assert(platform.reload(), qt.IsNil)
	c.Assert(platform.NodeFor(5, 1), qt.Equals, "b:1")
}
