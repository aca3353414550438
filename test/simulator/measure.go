package simulator

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// variant is one of the settings that a measurement compares.
type variant struct {
	name  string
	shape func(*Options)
}

type measurement struct {
	title      string
	deployment string
	rate       float64
	hot        float64
	span       kernel.Micros
	shape      func(*Options)
	variants   []variant
	columns    []string
	faults     func(*World) // called once the load has started
}

// operationMix holds the intervals of the operations and faults that a measurement repeats; zero
// means never.
type operationMix struct {
	configs, zones, kills kernel.Micros
	large                 int // bindings of the configuration submitted first
	every                 kernel.Micros
	inject                func(w *World)
}

func (w *World) submitOperations() {
	every := func(span kernel.Micros, do func()) {
		if span == 0 {
			return
		}
		var again func()
		again = func() {
			do()
			w.after(span, again)
		}
		w.after(span, again)
	}
	if w.options.Operations.large > 0 {
		w.operator.submit(cluster.Submit{Operation: cluster.PutConfig, Config: largeConfig(w.options.Operations.large, "main")}, func(cluster.SubmitResponse) {})
		w.Run(5 * sec)
	}
	w.CrossZoneBytes = map[string]int{}
	every(w.options.Operations.configs, func() { w.operator.putConfig(nil) })
	isDrained := false
	every(w.options.Operations.zones, func() {
		isDrained = !isDrained
		operation := cluster.UndrainZone
		if isDrained {
			operation = cluster.DrainZone
		}
		w.operator.submit(cluster.Submit{Operation: operation, Zone: "z2"}, func(cluster.SubmitResponse) {})
	})
	every(w.options.Operations.every, func() { w.options.Operations.inject(w) })
	every(w.options.Operations.kills, func() { killAndRestart(w.leader(), 3*sec) })
}

// largeConfig returns a configuration with the given number of bindings that match no request,
// and one that matches all.
func largeConfig(bindings int, pools ...string) []byte {
	text := strings.Builder{}
	text.WriteString(`{"bindings":[`)
	for i := range bindings {
		fmt.Fprintf(&text, `{"name":"b%d","match":{"kind":"no-such-%d"},"shares":[{"pool":%q,"weight":1}]},`, i, i, pools[0])
	}
	text.WriteString(`{"name":"rest","shares":[`)
	for i, pool := range pools {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"pool":%q,"weight":1}`, pool)
	}
	text.WriteString(`]}]}`)
	return []byte(text.String())
}

// Measurements returns the names of the measurements.
func Measurements() []string {
	names := []string{}
	for name := range measurements {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Measure runs a measurement over seeds and writes a table with the median, minimum and maximum
// of the seeds. It reports whether the measurement exists.
func Measure(to io.Writer, name string, first uint64, count int) bool {
	plan, isKnown := measurements[name]
	if !isKnown {
		return false
	}
	fmt.Fprintf(to, "### %s\n\n%s, %v requests a second for %d s, hot prefix %v, seeds %d to %d\n\n", plan.title, plan.deployment, plan.rate, plan.span/sec, plan.hot, first, first+uint64(count)-1)
	fmt.Fprintf(to, "| variant | %s |\n|---|%s\n", strings.Join(plan.columns, " | "), strings.Repeat("---|", len(plan.columns)))
	for _, variant := range plan.variants {
		// Seeds have separate worlds, so they can run concurrently.
		runs := make([]map[string]float64, count)
		var seeds sync.WaitGroup
		for i := range count {
			seeds.Go(func() { runs[i] = plan.run(first+uint64(i), variant) })
		}
		seeds.Wait()
		values := map[string][]float64{}
		for _, run := range runs {
			for _, column := range plan.columns {
				values[column] = append(values[column], run[column])
			}
		}
		fmt.Fprintf(to, "| %s |", variant.name)
		for _, column := range plan.columns {
			ordered := slices.Sorted(slices.Values(values[column]))
			fmt.Fprintf(to, " %.3g (%.3g to %.3g) |", ordered[len(ordered)/2], ordered[0], ordered[len(ordered)-1])
		}
		fmt.Fprintln(to)
	}
	fmt.Fprintln(to)
	return true
}

func (m measurement) run(seed uint64, variant variant) map[string]float64 {
	options := defaultOptions()
	if m.shape != nil {
		m.shape(&options)
	}
	variant.shape(&options)
	zones, nodes, disks := 4, 11, 4
	if m.deployment == "cronometro" {
		zones, nodes, disks = 3, 12, 3
	}
	w := newWorld(seed, zones, nodes, disks, 18, options)
	if !w.Open() {
		panic(kernel.ServiceError{Name: "measurement", Reason: "the fleet did not bootstrap"})
	}
	begun := w.now
	w.Traffic(m.rate, m.span, m.hot)
	if m.faults != nil {
		w.Run(2 * sec)
		m.faults(w)
	}
	w.Run(m.span + 10*sec)
	values := map[string]float64{}
	for _, column := range m.columns {
		values[column] = columnOf[column](w, begun)
	}
	return values
}
