package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"

	"dunlinloom/internal/kernel"
)

// UnknownTableError reports a table that does not exist.
type UnknownTableError struct {
	Name  string
	Known []string
}

func (err UnknownTableError) Error() string {
	return fmt.Sprintf("unknown table %q; known tables are %v", err.Name, err.Known)
}

// Batch configures how the rows of a table are run.
type Batch struct {
	First   uint64 // first seed
	Seeds   int
	Workers int // number of concurrent runs, each on one core
	Rules   Rules
	Most    int // rows above this size are omitted; 0: no limit
	// Run runs one fleet. If it is nil, each fleet runs in a separate process with its own heap and garbage collector.
	Run func(Sizes, uint64) (*Outcome, error)
}

// Check returns an error if a value is out of bounds or the rules are unknown.
func (b Batch) Check() error {
	for _, bound := range []struct {
		what            string
		value, low, top int64
	}{{"seeds", int64(b.Seeds), 1, 20}, {"workers", int64(b.Workers), 1, 4}, {"most", int64(b.Most), 0, 100000}} {
		if bound.value < bound.low || bound.value > bound.top {
			return fmt.Errorf("check the batch: %w", OutOfBoundsError{bound.what, bound.value, bound.low, bound.top})
		}
	}
	if b.Rules != "" && b.Rules != Strict && b.Rules != Deployment {
		return fmt.Errorf("check the batch: %w", UnknownRulesError{b.Rules})
	}
	return nil
}

type row struct {
	name  string
	size  float64 // value of the size that varies between the rows
	sizes Sizes
}

type table struct {
	title, sizeName string
	rows            []row
	print           func(w io.Writer, t table, found [][]*Outcome)
	// parts, if set, measures single parts instead of fleets and prints the table.
	parts func(w io.Writer, t table, b Batch) error
}

// sweep returns the rows of a table in which one size varies.
func sweep(base Sizes, set func(*Sizes, int), values ...int) []row {
	rows := []row{}
	for _, value := range values {
		sizes := base
		set(&sizes, value)
		rows = append(rows, row{fmt.Sprint(value), float64(value), sizes})
	}
	return rows
}

func base(change func(*Sizes)) Sizes {
	sizes := DefaultSizes()
	change(&sizes)
	return sizes
}

func tables() map[string]table {
	full := base(func(s *Sizes) {
		s.Nodes, s.Routes, s.Tenants, s.Span, s.Wall, s.MemoryMB = 410, 500, 500, 2*sec, 1800*sec, 3000
	})
	return map[string]table{
		"nodes": {"Idle, by nodes", "nodes", sweep(base(func(s *Sizes) {}), func(s *Sizes, v int) { s.Nodes = v }, 8, 32, 96, 205, 410), printRoles, nil},
		"engines": {"Idle, by engines, with 48 nodes in 24 zones", "engines", sweep(base(func(s *Sizes) { s.Nodes, s.Zones, s.Span = 48, 24, 3*sec }),
			func(s *Sizes, v int) { s.Engines = v }, 64, 256, 850, 1700, 3400), printRoles, nil},
		"reports": {"Idle, by the span between reports in ms, with 48 nodes in 24 zones and 850 engines", "ms", sweep(base(func(s *Sizes) { s.Nodes, s.Zones, s.Engines, s.Span = 48, 24, 850, 4*sec }),
			func(s *Sizes, v int) { s.Report = kernel.Micros(v) * ms }, 500, 1000, 4000, 16000), printRoles, nil},
		"routes": {"Under 0.2 changes a second, by routes, with 16 nodes", "routes", sweep(base(func(s *Sizes) { s.Nodes, s.Changes, s.Span = 16, 200, 15*sec }),
			func(s *Sizes, v int) { s.Routes, s.Tenants = v, tenantCount(v) }, 100, 500, 2000, 8000, 20000), printRoles, nil},
		"changes": {"By changes in a thousand seconds, with 48 nodes, 500 routes", "changes", sweep(base(func(s *Sizes) { s.Nodes, s.Routes, s.Span = 48, 500, 15*sec }),
			func(s *Sizes, v int) { s.Changes = v }, 0, 82, 500, 1000, 2000), printRoles, nil},
		"force":    {"From a change's acknowledgement until the last node applied it, by nodes, 0.5 changes a second, 100 routes", "nodes", sweep(base(func(s *Sizes) { s.Changes, s.Span, s.Engines = 500, 12*sec, 24 }), func(s *Sizes, v int) { s.Nodes = v }, 8, 32, 96, 205, 410), printChangeLatency, nil},
		"restarts": {"Restarts of a share of the routers at once", "nodes", restarts(), printRecovery, nil},
		"cut": {"The last region partitioned for 20 s, and for 40 s, after which its routers are removed", "nodes", append(sweep(base(func(s *Sizes) { s.Cut, s.Span = 20*sec, sec }),
			func(s *Sizes, v int) { s.Nodes = v }, 32, 96, 205), row{"96, 40 s", 96, base(func(s *Sizes) { s.Nodes, s.Cut, s.Span = 96, 40*sec, sec })}), printRecovery, nil},
		"full":     {"All 410 nodes, 500 routes, by engines", "engines", sweep(full, func(s *Sizes, v int) { s.Engines = v }, 850, 3400), printRoles, nil},
		"desk":     {"Requests at one router's dispatcher", "", nil, nil, printDispatcher},
		"paper":    {"Configurations, documents and the object store", "", nil, nil, printConfig},
		"channels": {"Real connections over loopback, idle, no engines", "", nil, nil, printConnections},
	}
}

func restarts() []row {
	rows := []row{}
	for _, nodes := range []int{16, 32, 96, 205} {
		for _, percent := range []int{1, 5, 20} {
			rows = append(rows, row{fmt.Sprintf("%d, %d %%", nodes, percent), float64(nodes), base(func(s *Sizes) {
				s.Nodes, s.Restart, s.Span, s.Engines = nodes, percent, sec, 96
			})})
		}
	}
	return rows
}

// Tables returns the names of all tables.
func Tables() []string { return slices.Sorted(maps.Keys(tables())) }

// Print runs the rows of a table and prints the table as Markdown, with the command that repeats it.
func Print(w io.Writer, name string, b Batch) error {
	t, isThere := tables()[name]
	if !isThere {
		return fmt.Errorf("print a table: %w", UnknownTableError{name, Tables()})
	}
	if err := b.Check(); err != nil {
		return fmt.Errorf("print table %s: %w", name, err)
	}
	command := fmt.Sprintf("--table %s --seed %d --seeds %d", name, b.First, b.Seeds)
	if t.rows != nil && b.Rules == Deployment {
		command += " --rules deployment"
		for i := range t.rows {
			t.rows[i].sizes.Rules, t.rows[i].sizes.Report = Deployment, deploymentHeartbeat
		}
	}
	if b.Most > 0 {
		command += fmt.Sprintf(" --most %d", b.Most)
		t.rows = slices.DeleteFunc(t.rows, func(row row) bool { return row.size > float64(b.Most) })
	}
	for _, row := range t.rows {
		if err := row.sizes.WithDefaults().Check(); err != nil {
			return fmt.Errorf("print table %s: row %s: %w", name, row.name, err)
		}
	}
	fmt.Fprintf(w, "### %s\n\n`go run ./cmd/capacity %s`\n\n", t.title, command)
	if t.parts != nil {
		return t.parts(w, t, b)
	}
	found := b.runAll(t.rows)
	for i, outcomes := range found {
		for _, outcome := range outcomes {
			if outcome.Failed != "" {
				fmt.Fprintf(w, "FAILED: %s, seed %d: %s\n\n", t.rows[i].name, outcome.Seed, outcome.Failed)
			}
		}
	}
	t.print(w, t, found)
	return nil
}

// runAll runs every row with every seed, with b.Workers concurrent runs. The last rows, which are the largest, come
// first.
func (b Batch) runAll(rows []row) [][]*Outcome {
	found := make([][]*Outcome, len(rows))
	type job struct {
		row  int
		seed uint64
	}
	jobs := make(chan job)
	var workers sync.WaitGroup
	for i := range found {
		found[i] = make([]*Outcome, b.Seeds)
	}
	for range b.Workers {
		workers.Go(func() {
			for next := range jobs {
				run := b.Run
				if run == nil {
					run = runSubprocess
				}
				outcome, err := run(rows[next.row].sizes, next.seed)
				if outcome == nil {
					outcome = &Outcome{Seed: next.seed}
				}
				if err != nil && outcome.Failed == "" {
					outcome.Failed = err.Error()
				}
				found[next.row][next.seed-b.First] = outcome
			}
		})
	}
	for i := len(rows) - 1; i >= 0; i-- {
		for seed := range b.Seeds {
			jobs <- job{i, b.First + uint64(seed)}
		}
	}
	close(jobs)
	workers.Wait()
	return found
}

// runSubprocess runs one fleet in a separate process on one core.
func runSubprocess(sizes Sizes, seed uint64) (*Outcome, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the path of this program: %w", err)
	}
	args := []string{"--run", "--seed", fmt.Sprint(seed), "--rules", string(sizes.Rules)}
	for _, flag := range []struct {
		name  string
		value int64
	}{
		{"nodes", int64(sizes.Nodes)}, {"control", int64(sizes.Control)}, {"zones", int64(sizes.Zones)}, {"regions", int64(sizes.Regions)},
		{"engines", int64(sizes.Engines)}, {"routes", int64(sizes.Routes)}, {"prefixes", int64(sizes.Prefixes)}, {"sessions", int64(sizes.Sessions)},
		{"tenants", int64(sizes.Tenants)}, {"report-us", int64(sizes.Report)}, {"changes", int64(sizes.Changes)}, {"span-us", int64(sizes.Span)},
		{"restart", int64(sizes.Restart)}, {"cut-us", int64(sizes.Cut)}, {"wall-us", int64(sizes.Wall)}, {"memory-mb", int64(sizes.MemoryMB)},
	} {
		args = append(args, "--"+flag.name, fmt.Sprint(flag.value))
	}
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), "GOMAXPROCS=1", fmt.Sprintf("GOMEMLIMIT=%dMiB", sizes.MemoryMB))
	var out, failed bytes.Buffer
	command.Stdout, command.Stderr = &out, &failed
	ended := command.Run()
	outcome := &Outcome{}
	if err := json.Unmarshal(out.Bytes(), outcome); err != nil {
		return nil, fmt.Errorf("run a fleet in a separate process: %w: %s", ended, strings.TrimSpace(failed.String()))
	}
	return outcome, nil
}

// formatSpread formats the median with the minimum and the maximum. It ignores NaN.
func formatSpread(values []float64) string {
	values = slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	if len(values) == 0 {
		return "–"
	}
	slices.Sort(values)
	low, mid, high := values[0], values[len(values)/2], values[len(values)-1]
	if len(values) == 1 {
		return formatNumber(mid)
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(mid), formatNumber(low), formatNumber(high))
}

func formatNumber(value float64) string {
	if math.Abs(value) >= 1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

func median(values []float64) float64 {
	values = slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// measures are the columns of a table by role.
var measures = []struct {
	name string
	of   func(RoleMetrics) float64
}{
	{"messages sent/s", func(f RoleMetrics) float64 { return TotalRate(f.Sent).Messages }},
	{"KB sent/s", func(f RoleMetrics) float64 { return TotalRate(f.Sent).Bytes / 1e3 }},
	{"KB got/s", func(f RoleMetrics) float64 { return TotalRate(f.Got).Bytes / 1e3 }},
	{"control plane, % of a core", func(f RoleMetrics) float64 {
		return 100 * (f.Processor[Events] + f.Processor[Encode] + f.Processor[Decode] + f.Processor[Disk])
	}},
	{"publishing, % of a core", func(f RoleMetrics) float64 { return 100 * f.Processor[Publish] }},
	{"compiling, % of a core", func(f RoleMetrics) float64 { return 100 * f.Processor[Compile] }},
	{"heap MB", func(f RoleMetrics) float64 { return f.Memory / 1e6 }},
}

func metricValues(outcomes []*Outcome, role Role, of func(RoleMetrics) float64) []float64 {
	values := []float64{}
	for _, outcome := range outcomes {
		if metrics, isThere := outcome.Roles[role]; isThere && outcome.Failed == "" {
			values = append(values, of(metrics))
		}
	}
	return values
}

func printHeader(w io.Writer, cells ...string) {
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(cells, " | "), strings.Repeat("---|", len(cells)))
}

func printRoles(w io.Writer, t table, found [][]*Outcome) {
	cells := []string{"role", t.sizeName}
	for _, measure := range measures {
		cells = append(cells, measure.name)
	}
	printHeader(w, cells...)
	for _, role := range Roles() {
		for i, row := range t.rows {
			cells := []string{string(role), row.name}
			for _, measure := range measures {
				cells = append(cells, formatSpread(metricValues(found[i], role, measure.of)))
			}
			fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
		}
	}
	printSlopes(w, t, found)
	printMessageKinds(w, t, found[len(found)-1])
	overheads := []float64{}
	for _, outcomes := range found {
		for _, outcome := range outcomes {
			if outcome.Failed == "" {
				overheads = append(overheads, outcome.Overhead)
			}
		}
	}
	fmt.Fprintf(w, "\nProcessor time of the process divided by the time accounted to nodes: %s.\n", formatSpread(overheads))
	if slices.ContainsFunc(t.rows, func(row row) bool { return row.sizes.Changes > 0 }) {
		fmt.Fprintln(w)
		printChangeLatency(w, t, found)
	}
}

// printSlopes prints the cost of a further thousand of the size between adjacent rows. A slope that
// differs from the previous one by more than half of it is printed in bold.
func printSlopes(w io.Writer, t table, found [][]*Outcome) {
	if len(t.rows) < 2 {
		return
	}
	fmt.Fprintf(w, "\nFor a thousand more %s, between adjacent rows; slopes that changed by more than half are bold:\n\n", t.sizeName)
	cells := []string{"role", "measure"}
	for i := range t.rows[1:] {
		cells = append(cells, t.rows[i].name+" to "+t.rows[i+1].name)
	}
	printHeader(w, cells...)
	for _, role := range Roles() {
		for _, measure := range measures {
			cells, before := []string{string(role), measure.name}, math.NaN()
			for i := range t.rows[1:] {
				low, high := median(metricValues(found[i], role, measure.of)), median(metricValues(found[i+1], role, measure.of))
				slope := (high - low) / (t.rows[i+1].size - t.rows[i].size) * 1000
				text := formatNumber(slope)
				if math.IsNaN(slope) {
					text = "–"
				} else if !math.IsNaN(before) && math.Abs(slope-before) > math.Abs(before)/2 {
					text = "**" + text + "**"
				}
				cells, before = append(cells, text), slope
			}
			fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
		}
	}
}

// printMessageKinds prints the five kinds of messages with the most bytes in the last row, for each role.
func printMessageKinds(w io.Writer, t table, outcomes []*Outcome) {
	fmt.Fprintf(w, "\nBy kind at %s %s, KB/s sent (messages/s):\n\n", t.rows[len(t.rows)-1].name, t.sizeName)
	printHeader(w, "role", "sent", "got")
	for _, role := range Roles() {
		line := func(pick func(RoleMetrics) map[string]Rate) string {
			kinds := map[string][2][]float64{}
			for _, outcome := range outcomes {
				for kind, rate := range pick(outcome.Roles[role]) {
					seen := kinds[kind]
					kinds[kind] = [2][]float64{append(seen[0], rate.Bytes/1e3), append(seen[1], rate.Messages)}
				}
			}
			names := slices.SortedFunc(maps.Keys(kinds), func(a, b string) int {
				if median(kinds[a][0]) != median(kinds[b][0]) {
					return int(math.Copysign(1, median(kinds[b][0])-median(kinds[a][0])))
				}
				return strings.Compare(a, b)
			})
			cells := []string{}
			for _, name := range names[:min(5, len(names))] {
				cells = append(cells, fmt.Sprintf("%s %s (%s)", name, formatNumber(median(kinds[name][0])), formatNumber(median(kinds[name][1]))))
			}
			return strings.Join(cells, ", ")
		}
		fmt.Fprintf(w, "| %s | %s | %s |\n", role, line(func(f RoleMetrics) map[string]Rate { return f.Sent }), line(func(f RoleMetrics) map[string]Rate { return f.Got }))
	}
}

func printChangeLatency(w io.Writer, t table, found [][]*Outcome) {
	printHeader(w, t.sizeName, "submissions", "not accepted", "to acknowledgement ms, median", "worst", "acknowledgement to the last node ms, median", "worst")
	for i, row := range t.rows {
		ack, apply, unacknowledged := []float64{}, []float64{}, 0
		for _, outcome := range found[i] {
			unacknowledged += outcome.Unacknowledged
			for j := range outcome.AckLatency {
				ack, apply = append(ack, float64(outcome.AckLatency[j])/1e3), append(apply, float64(outcome.ApplyDelay[j])/1e3)
			}
		}
		if len(ack) == 0 {
			fmt.Fprintf(w, "| %s | 0 | %d | – | – | – | – |\n", row.name, unacknowledged)
			continue
		}
		fmt.Fprintf(w, "| %s | %d | %d | %s | %s | %s | %s |\n", row.name, len(ack)+unacknowledged, unacknowledged, formatNumber(median(ack)), formatNumber(slices.Max(ack)), formatNumber(median(apply)), formatNumber(slices.Max(apply)))
	}
}

func printRecovery(w io.Writer, t table, found [][]*Outcome) {
	printHeader(w, t.sizeName, "restarted", "valid leases inside %", "valid leases outside %", "settled after ms")
	for i, row := range t.rows {
		restarted, inside, outside, settle := []float64{}, []float64{}, []float64{}, []float64{}
		for _, outcome := range found[i] {
			if outcome.Failed != "" {
				continue
			}
			restarted = append(restarted, float64(outcome.Restarted))
			settle = append(settle, float64(outcome.Settle)/1e3)
			if row.sizes.Cut > 0 {
				inside, outside = append(inside, 100*outcome.ServingInside), append(outside, 100*outcome.ServingOutside)
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", row.name, formatNumber(median(restarted)), formatSpread(inside), formatSpread(outside), formatSpread(settle))
	}
}

// printDispatcher varies one size at a time and keeps the others at a medium value.
func printDispatcher(w io.Writer, _ table, b Batch) error {
	printHeader(w, "size", "arrival to engine us", "to its end us, 20 events", "heap of an open request, bytes", "routing table and configuration, MB")
	middle := base(func(s *Sizes) {
		s.Nodes, s.Zones, s.Regions, s.Engines, s.Routes, s.Tenants, s.Prefixes, s.Sessions = 410, 24, 7, 850, 2000, 2000, 10000, 1000
		s.MemoryMB = 4000
	})
	for _, sizes := range []struct {
		name   string
		set    func(*Sizes, int)
		values []int
	}{
		{"engines", func(s *Sizes, v int) { s.Engines = v }, []int{64, 256, 850, 1700, 3400}},
		{"routes", func(s *Sizes, v int) { s.Routes, s.Tenants = v, tenantCount(v) }, []int{100, 500, 2000, 8000, 20000}},
		{"prefixes", func(s *Sizes, v int) { s.Prefixes = v }, []int{100, 1000, 10000, 110000}},
		{"open requests", func(s *Sizes, v int) { s.Sessions = v }, []int{100, 1000, 6000, 12000}},
	} {
		for _, row := range sweep(middle, sizes.set, sizes.values...) {
			var arrive, rest, held, routingTable []float64
			for seed := range b.Seeds {
				load, err := MeasureDispatch(row.sizes, b.First+uint64(seed))
				if err != nil {
					return err
				}
				arrive, rest, held, routingTable = append(arrive, load.Admit), append(rest, load.Complete), append(held, load.PerOpenRequest), append(routingTable, load.RoutingTable/1e6)
			}
			fmt.Fprintf(w, "| %s %s | %s | %s | %s | %s |\n", row.name, sizes.name, formatSpread(arrive), formatSpread(rest), formatSpread(held), formatSpread(routingTable))
		}
	}
	return nil
}

func printConfig(w io.Writer, _ table, b Batch) error {
	printHeader(w, "size", "configuration KB", "as a submission KB", "document KB", "light document KB", "compile ms", "compiled MB", "save ms", "file ms", "stored KB")
	middle := base(func(s *Sizes) { s.Nodes, s.Zones, s.Regions, s.Engines, s.MemoryMB = 410, 24, 7, 850, 4000 })
	sweeps := append(sweep(middle, func(s *Sizes, v int) { s.Routes, s.Tenants = v, tenantCount(v) }, 100, 500, 2000, 8000, 20000),
		sweep(middle, func(s *Sizes, v int) { s.Nodes = v }, 32, 96, 205, 410)...)
	for i, row := range sweeps {
		columns := make([][]float64, 9)
		for seed := range b.Seeds {
			cost, err := MeasureConfig(row.sizes, b.First+uint64(seed))
			if err != nil {
				return err
			}
			for j, value := range []float64{cost.Config / 1e3, cost.Submit / 1e3, cost.Full / 1e3, cost.Light / 1e3, cost.Read / 1e3, cost.Compiled / 1e6, cost.Save / 1e3, cost.File / 1e3, cost.Stored / 1e3} {
				columns[j] = append(columns[j], value)
			}
		}
		name := row.name + " routes"
		if i >= 5 {
			name = row.name + " nodes"
		}
		cells := []string{name}
		for _, column := range columns {
			cells = append(cells, formatSpread(column))
		}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
	return nil
}

func printConnections(w io.Writer, _ table, b Batch) error {
	printHeader(w, "nodes", "messages sent/s", "KB encoded/s", "KB on the wire/s", "% of a core by node", "KB of heap for each peer", "lost/s")
	for _, row := range sweep(base(func(s *Sizes) { s.Wall, s.Engines = 60*sec, 0 }), func(s *Sizes, v int) { s.Nodes = v }, 8, 16, 24, 32) {
		columns := make([][]float64, 6)
		for seed := range b.Seeds {
			wire, err := MeasureConnections(row.sizes, b.First+uint64(seed))
			if err != nil {
				return err
			}
			for j, value := range []float64{wire.Messages, wire.Encoded / 1e3, wire.OnWire / 1e3, 100 * wire.Cores, wire.PerPeer / 1e3, wire.Lost} {
				columns[j] = append(columns[j], value)
			}
		}
		cells := []string{row.name}
		for _, column := range columns {
			cells = append(cells, formatSpread(column))
		}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
	return nil
}
