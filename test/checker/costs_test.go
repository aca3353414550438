package checker

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// declaredRules parses the sources of this package and returns the Rule constants that they declare.
func declaredRules(c *qt.C) (declared []Rule) {
	entries, err := os.ReadDir(".")
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(file, func(node ast.Node) bool {
			spec, isValue := node.(*ast.ValueSpec)
			if !isValue || len(spec.Values) != 1 {
				return true
			}
			kind, isNamed := spec.Type.(*ast.Ident)
			literal, isLiteral := spec.Values[0].(*ast.BasicLit)
			if isNamed && isLiteral && kind.Name == "Rule" {
				text, err := strconv.Unquote(literal.Value)
				c.Assert(err, qt.IsNil)
				declared = append(declared, Rule(text))
			}
			return true
		})
	}
	return declared
}

// The documentation states how many rules are checked, so the lists together have to hold exactly the
// declared rules.
func TestEveryRuleIsListed(t *testing.T) {
	c := qt.New(t)
	listed := slices.Concat(FleetRules(), RoutedRules(), TenantRules(), OperationRules(), []Rule{HistoryUndecided})
	slices.Sort(listed)
	declared := declaredRules(c)
	slices.Sort(declared)
	c.Assert(slices.Compact(listed), qt.DeepEquals, declared)
}

func TestFaultCostsCountUnservedCalls(t *testing.T) {
	c := qt.New(t)
	call := func(at kernel.Micros, outcome Outcome) Event {
		return Event{EventKind: CallEnded, At: at * kernel.Second, StartedAt: at*kernel.Second - 100, FirstAt: at*kernel.Second - 40, Outcome: outcome}
	}
	fault := func(at kernel.Micros, name string) Event {
		return Event{EventKind: FaultInjected, At: at * kernel.Second, Reason: name}
	}
	events := []Event{
		call(1, Served), fault(2, "kill"), call(3, Truncated), call(4, Abandoned), fault(5, "cut"), call(6, NotRun), call(30, Served), fault(31, "freeze"), call(32, Served),
	}
	c.Assert(FaultCosts(events), qt.DeepEquals, []FaultCost{
		{"kill", kernel.Second, 2, 4 * kernel.Second}, {"cut", 4 * kernel.Second, 1, kernel.Second}, {"freeze", 30 * kernel.Second, 0, 0},
	})
	c.Assert(FirstByteLatency(events), qt.Equals, Latency{3, 60, 60})
	routed := []RoutedEvent{
		{EventKind: AttemptSentByCaller, ID: "a", At: 100}, {EventKind: FaultStarted, Why: "crash", At: 200},
		{EventKind: AttemptEnded, ID: "a", At: 300, FirstAt: 250, Ending: Complete, Status: 200},
		{EventKind: AttemptEnded, ID: "b", At: 400, Ending: Complete, Status: 503}, {EventKind: AttemptEnded, ID: "c", At: 500, Ending: Canceled},
	}
	c.Assert(RoutedFaultCosts(routed), qt.DeepEquals, []FaultCost{{"crash", 100, 1, 200}})
	c.Assert(RoutedFirstChunkLatency(routed), qt.Equals, Latency{1, 150, 150})
	c.Assert(LatencyOf(nil), qt.Equals, Latency{})
}
