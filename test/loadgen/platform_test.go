package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/test/checker"
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

// A call with a complete response keeps its outcome even if its caller cancels at that moment, because what the
// response states about the run still holds. Only a call without a complete response counts as abandoned.
func TestCompleteResponseKeepsItsOutcomeAfterCancel(t *testing.T) {
	c := qt.New(t)
	for _, example := range []struct {
		outcome checker.Outcome
		want    bool
	}{
		{checker.Served, false}, {checker.NotRun, false}, {checker.MayHaveRun, false}, {checker.EngineError, false},
		{checker.Corrupted, false}, {checker.FalseEnd, false},
		{checker.Truncated, true}, {checker.NoResponse, true}, {checker.Unreached, true},
	} {
		c.Check(isUnfinished(example.outcome), qt.Equals, example.want, qt.Commentf("%s", example.outcome))
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { cancel() }))
	defer node.Close()
	event := NewCaller().Call(ctx, node.Listener.Addr().String(), Request{Tag: "t", Out: 1})
	c.Assert(event.Outcome, qt.Equals, checker.Abandoned)
}
