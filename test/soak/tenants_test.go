package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
)

func emptyFleet(c *qt.C) *fleet {
	f := &fleet{settings: Settings{Folder: c.TempDir(), Load: 1, HasTenants: true}, clock: kernel.NewSteadyClock(), context: context.Background()}
	f.tenancy = newTenancy(f)
	return f
}

// Keys must not appear in logs or journals; configurations are the only place for them.
func TestAKeyInALogOrAJournalIsFound(t *testing.T) {
	for _, test := range []struct {
		name, file, content string
		isFound             bool
	}{
		{"nothing", "node0.log", "served", false},
		{"a log", "node0.log", "refused " + secretMark + "1", true},
		{"a journal", "node0-data/journal/requests-v1-1.jsonl", `{"why":"` + secretMark + `1"}`, true},
		{"a configuration", "node0-data/generation-1.json", secretMark + "1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := emptyFleet(c)
			for _, file := range []string{"other.log", "other-data/journal/decisions-v1-1.jsonl", test.file} {
				path := filepath.Join(f.settings.Folder, file)
				c.Assert(os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
				content := ""
				if file == test.file {
					content = test.content
				}
				c.Assert(os.WriteFile(path, []byte(content), 0o644), qt.IsNil)
			}
			f.checkFiles()
			c.Assert(len(f.problems) > 0, qt.Equals, test.isFound, qt.Commentf("%v", f.problems))
		})
	}
}

// A run without logs or journals searched nothing, so it must not pass.
func TestMissingLogsAreAProblem(t *testing.T) {
	c := qt.New(t)
	f := emptyFleet(c)
	f.checkFiles()
	c.Assert(strings.Join(f.problems, ""), qt.Contains, "0 logs and 0 journals")
}

// keyEvents returns the kinds and keys of the recorded events.
func keyEvents(f *fleet) (events []string) {
	for _, event := range f.routed {
		events = append(events, string(event.EventKind)+" "+event.Key)
	}
	return events
}

// A key has to be recorded before a configuration with it is sent, and its withdrawal once a newer configuration
// without it is seen in force. A key whose configuration never took effect is not withdrawn.
func TestKeysAreReportedToTheChecker(t *testing.T) {
	c := qt.New(t)
	f := emptyFleet(c)
	content := func(version uint64, keys ...string) []byte {
		body, err := platform.EncodeConfig(version, []fleetconfig.Route{kinds()[2].Route}, services(), fleetconfig.Caps{}, []fleetconfig.Tenant{{Name: "t", Keys: keys}})
		c.Assert(err, qt.IsNil)
		return body
	}
	f.tenancy.recordKeysSent(content(1, "a"))
	f.tenancy.recordKeysInForce(1, content(1, "a"))
	f.tenancy.recordKeysSent(content(2, "a", "b")) // never in force
	f.tenancy.recordKeysSent(content(3, "a", "c"))
	f.tenancy.recordKeysInForce(3, content(3, "a", "c"))
	f.tenancy.recordKeysSent(content(4, "c"))
	c.Assert(f.tenancy.isInForce("a"), qt.IsTrue)
	f.tenancy.recordKeysInForce(4, content(4, "c"))
	f.tenancy.recordKeysInForce(3, content(3, "a", "c")) // a delayed response
	c.Assert(f.tenancy.isInForce("a"), qt.IsFalse)
	c.Assert(f.problems, qt.HasLen, 0)
	c.Assert(keyEvents(f), qt.DeepEquals, []string{
		string(checker.KeyHeld) + " a", string(checker.KeyHeld) + " b", string(checker.KeyHeld) + " c", string(checker.KeyWithdrawn) + " a",
	})
}

// Heating one tenant must not change the load of the others.
func TestHotTenantDoesNotChangeTheLoadOfOthers(t *testing.T) {
	c := qt.New(t)
	f := emptyFleet(c)
	random := rand.New(rand.NewPCG(1, 1))
	const draws = 200_000
	count := func(factor float64) map[string]float64 {
		counts := map[string]float64{}
		for range draws {
			key, _ := f.tenancy.draw(random, 100)
			counts[key] += factor / draws
		}
		return counts
	}
	usual := count(1)
	hot := f.tenancy.tenants[2]
	during := count(f.tenancy.scaleTenantLoad(hot, hotFactor))
	for _, tenant := range f.tenancy.tenants {
		wanted := 1.0
		if tenant == hot {
			wanted = hotFactor
		}
		ratio := during[tenant.currentKey] / usual[tenant.currentKey]
		c.Check(ratio > 0.95*wanted && ratio < 1.05*wanted, qt.IsTrue, qt.Commentf("%s: %.2f times", tenant.name, ratio))
	}
	c.Assert(usual[unknownKey] > 0 && usual[""] > 0, qt.IsTrue)
	f.tenancy.scaleTenantLoad(hot, 1.0/hotFactor)
	c.Assert(f.tenancy.tenants[2].loadFactor, qt.Equals, 1.0)
}
