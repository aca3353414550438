package childprocess

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLogsAreScannedForFaults(t *testing.T) {
	for _, example := range []struct {
		name  string
		files map[string]string
		want  []string
	}{
		{"nothing wrong", map[string]string{"a.log": "I1 started\nI1 leads\n"}, nil},
		{"a panic", map[string]string{"a.log": "fine\npanic: no\n"}, []string{"a.log: panic: no"}},
		{"a recovered panic", map[string]string{"a.log": "http: panic serving 1\n"}, []string{"a.log: http: panic serving 1"}},
		{"an invariant", map[string]string{"a.log": "fine\n", "b.log": "E1 an invariant is violated\n"}, []string{"b.log: E1 an invariant is violated"}},
		{"another kind of file", map[string]string{"a.log": "fine\n", "calls.jsonl": "panic: no\n"}, nil},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			for name, content := range example.files {
				c.Assert(os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600), qt.IsNil)
			}
			found, err := ScanLogs(folder)
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.DeepEquals, example.want)
		})
	}
}

// A folder without logs must not count as free of faults: the logs of the processes may have been lost.
func TestMissingLogsAreAnError(t *testing.T) {
	c := qt.New(t)
	_, err := ScanLogs(t.TempDir())
	c.Assert(err, qt.ErrorAs, new(NoLogsError))
	_, err = ScanLogs(filepath.Join(t.TempDir(), "nowhere"))
	c.Assert(err, qt.ErrorIs, os.ErrNotExist)
	folder := t.TempDir()
	c.Assert(os.WriteFile(filepath.Join(folder, "a.log"), make([]byte, 2*maxLogLine), 0o600), qt.IsNil)
	_, err = ScanLogs(folder)
	c.Assert(err, qt.IsNotNil)
}
