// Package experiment compares two settings of a routed fleet in virtual time. It runs the same
// mix of requests under each, and writes a report with plots.
package experiment

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/simulator"
)

// windows is the number of equal parts of a run for which latency is plotted.
const windows = 24

// maxFirstLatency is the largest latency in the histograms; no caller waits longer.
const maxFirstLatency = 10 * 60 * int64(kernel.Second)

// Side is the result of one setting over all seeds that were run.
type Side struct {
	Name          string
	kinds         []string
	targets       map[string]kernel.Micros
	span          kernel.Micros
	wholeRun      map[string]*hdrhistogram.Histogram          // time to the first token, by kind
	byWindow      map[string][windows]*hdrhistogram.Histogram // the same, by window
	sent          map[string]int
	inTime        map[string]int
	shares        map[string][]float64 // percentage in time, for each seed
	rejections    map[string]int
	engines       []float64 // thousand tokens read and generated, the most loaded engine first
	prefillTokens int
	cachedTokens  int
	seeds         int
	diverts       uint64
	extraArrivals int
	openedConns   uint64 // connections that routers opened to engines
	violations    int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxFirstLatency, 3) }

// latencyError reports a latency outside the range of the histogram, which never happens in a correct run.
type latencyError struct{ cause error }

func (b latencyError) Error() string { return "record a latency: " + b.cause.Error() }

// Unwrap returns the cause.
func (b latencyError) Unwrap() error { return b.cause }

// NewSide returns an empty side for a plan's kinds.
func NewSide(name string, plan simulator.RoutedPlan) *Side {
	s := &Side{Name: name, span: plan.Span, targets: map[string]kernel.Micros{}, wholeRun: map[string]*hdrhistogram.Histogram{},
		byWindow: map[string][windows]*hdrhistogram.Histogram{}, sent: map[string]int{}, inTime: map[string]int{}, shares: map[string][]float64{}, rejections: map[string]int{}}
	for _, kind := range plan.Deployment.Kinds {
		name := kind.Route.Name
		s.kinds = append(s.kinds, name)
		s.targets[name], s.wholeRun[name] = kind.Route.LatencyTarget, newHistogram()
		var over [windows]*hdrhistogram.Histogram
		for i := range over {
			over[i] = newHistogram()
		}
		s.byWindow[name] = over
	}
	return s
}

// Add adds the outcome of one seed's run.
func (s *Side) Add(outcome simulator.RoutedOutcome) error {
	sent, inTime, err := s.addResponses(outcome.Events)
	if err != nil {
		return err
	}
	for _, kind := range s.kinds {
		s.sent[kind] += sent[kind]
		s.inTime[kind] += inTime[kind]
		s.shares[kind] = append(s.shares[kind], 100*float64(inTime[kind])/float64(max(sent[kind], 1)))
	}
	loads := []float64{}
	for _, figures := range outcome.Figures {
		loads = append(loads, float64(figures.PrefillTokens+figures.OutputTokens)/1000)
		s.prefillTokens, s.cachedTokens = s.prefillTokens+figures.PrefillTokens, s.cachedTokens+figures.CachedTokens
	}
	slices.Sort(loads)
	slices.Reverse(loads)
	for i, load := range loads {
		if i == len(s.engines) {
			s.engines = append(s.engines, 0)
		}
		s.engines[i] += load
	}
	for cause, count := range outcome.Rejected {
		s.rejections[cause] += int(count)
	}
	s.seeds++
	s.diverts, s.openedConns = s.diverts+outcome.Diverts, s.openedConns+outcome.Opened
	s.extraArrivals, s.violations = s.extraArrivals+outcome.Report.ExtraArrivals, s.violations+len(outcome.Report.Violations)
	return nil
}

// addResponses records the latencies of one seed's responses, and returns the number of attempts of each kind that were
// sent and that were in time.
func (s *Side) addResponses(events []checker.RoutedEvent) (sent, inTime map[string]int, err error) {
	begun := map[string]kernel.Micros{}
	sent, inTime = map[string]int{}, map[string]int{}
	for _, event := range events {
		switch event.EventKind {
		case checker.AttemptSentByCaller:
			begun[event.ID] = event.At
			sent[event.Kind]++
		case checker.AttemptEnded:
			if event.Ending != checker.Complete || event.FirstAt == 0 {
				continue
			}
			first := event.FirstAt - begun[event.ID]
			if first <= s.targets[event.Kind] {
				inTime[event.Kind]++
			}
			part := min(int(int64(begun[event.ID]-kernel.Second)*windows/int64(s.span)), windows-1)
			for _, histogram := range []*hdrhistogram.Histogram{s.wholeRun[event.Kind], s.byWindow[event.Kind][part]} {
				if err := histogram.RecordValue(int64(first)); err != nil {
					return nil, nil, latencyError{err}
				}
			}
		}
	}
	return sent, inTime, nil
}

// Write writes the report and its plots into a folder.
func Write(folder, title, command string, sides [2]*Side) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("write a report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.md"), report(title, command, sides), 0o644); err != nil {
		return fmt.Errorf("write a report: %w", err)
	}
	for _, kind := range sides[0].kinds {
		if err := drawLatency(filepath.Join(folder, "latency-"+kind+".svg"), kind, sides); err != nil {
			return err
		}
	}
	if err := drawBars(filepath.Join(folder, "engines.svg"), "load by engine, the most loaded first", "thousand tokens read and generated", nil,
		sides, func(s *Side) plotter.Values { return s.engines }); err != nil {
		return err
	}
	causes := causesOf(sides)
	return drawBars(filepath.Join(folder, "refusals.svg"), "refusals by cause", "refusals", causes, sides, func(s *Side) plotter.Values {
		values := plotter.Values{}
		for _, cause := range causes {
			values = append(values, float64(s.rejections[cause]))
		}
		return values
	})
}

func causesOf(sides [2]*Side) []string {
	all := map[string]bool{}
	for _, side := range sides {
		for cause := range side.rejections {
			all[cause] = true
		}
	}
	if len(all) == 0 {
		return []string{"none"}
	}
	return slices.Sorted(maps.Keys(all))
}

func report(title, command string, sides [2]*Side) []byte {
	var to bytes.Buffer
	fmt.Fprintf(&to, "# %s\n\nMade by `%s`, in virtual time with the model engine of `emulator`, so the speed of the\nmachine has no influence. Seeds on each side: %d. These are trial figures: no real engine was measured.\n\n", title, command, sides[0].seeds)
	fmt.Fprintf(&to, "| figure | %s | %s |\n|---|---|---|\n", sides[0].Name, sides[1].Name)
	row := func(name string, value func(*Side) string) {
		fmt.Fprintf(&to, "| %s | %s | %s |\n", name, value(sides[0]), value(sides[1]))
	}
	for _, kind := range sides[0].kinds {
		row(kind+": tries", func(s *Side) string { return strconv.Itoa(s.sent[kind]) })
		row(kind+": first token within its target (lowest to highest seed)", func(s *Side) string {
			return fmt.Sprintf("%.2f %% (%.2f to %.2f)", 100*float64(s.inTime[kind])/float64(max(s.sent[kind], 1)), slices.Min(s.shares[kind]), slices.Max(s.shares[kind]))
		})
		for _, quantile := range []float64{50, 90, 95, 99, 99.9} {
			row(fmt.Sprintf("%s: first token, p%v", kind, quantile), func(s *Side) string {
				return fmt.Sprintf("%.1f ms", float64(s.wholeRun[kind].ValueAtQuantile(quantile))/1000)
			})
		}
	}
	row("prompt tokens found in the cache", func(s *Side) string {
		return fmt.Sprintf("%.1f %%", 100*float64(s.cachedTokens)/float64(max(s.prefillTokens+s.cachedTokens, 1)))
	})
	row("load, maximum over mean", func(s *Side) string {
		sum := 0.0
		for _, load := range s.engines {
			sum += load
		}
		return fmt.Sprintf("%.2f", s.engines[0]*float64(len(s.engines))/max(sum, 1))
	})
	row("diverts", func(s *Side) string { return strconv.FormatUint(s.diverts, 10) })
	row("arrivals beyond the first", func(s *Side) string { return strconv.Itoa(s.extraArrivals) })
	row("new connections to engines", func(s *Side) string { return strconv.FormatUint(s.openedConns, 10) })
	for _, cause := range causesOf(sides) {
		if cause != "none" {
			row("refused: "+cause, func(s *Side) string { return strconv.Itoa(s.rejections[cause]) })
		}
	}
	row("violations", func(s *Side) string { return strconv.Itoa(s.violations) })
	to.WriteString("\n")
	for _, kind := range sides[0].kinds {
		fmt.Fprintf(&to, "![latency of %s over the run](latency-%s.svg)\n", kind, kind)
	}
	to.WriteString("![load by engine](engines.svg)\n![refusals by cause](refusals.svg)\n")
	return to.Bytes()
}

func drawLatency(path, kind string, sides [2]*Side) error {
	drawn := plot.New()
	drawn.Title.Text = kind + ": time to the first token, over the run"
	drawn.X.Label.Text, drawn.Y.Label.Text = "part of the run", "ms"
	drawn.Legend.Top = true
	lines := []any{}
	for _, side := range sides {
		for _, quantile := range []float64{50, 95} {
			points := plotter.XYs{}
			for i, histogram := range side.byWindow[kind] {
				if histogram.TotalCount() > 0 {
					points = append(points, plotter.XY{X: (float64(i) + 0.5) / windows, Y: float64(histogram.ValueAtQuantile(quantile)) / 1000})
				}
			}
			lines = append(lines, fmt.Sprintf("%s, p%v", side.Name, quantile), points)
		}
	}
	if err := plotutil.AddLines(drawn, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", path, err)
	}
	drawn.Y.Min = 0
	drawn.Y.Max *= 1.4 // room for the legend
	return save(drawn, path)
}

func drawBars(path, title, label string, names []string, sides [2]*Side, of func(*Side) plotter.Values) error {
	drawn := plot.New()
	drawn.Title.Text, drawn.Y.Label.Text = title, label
	drawn.Legend.Top = true
	const width = 12
	for i, side := range sides {
		bars, err := plotter.NewBarChart(of(side), vg.Points(width))
		if err != nil {
			return fmt.Errorf("draw %s: %w", path, err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = vg.Points(width * (float64(i) - 0.5))
		drawn.Add(bars)
		drawn.Legend.Add(side.Name, bars)
	}
	if names != nil {
		drawn.NominalX(names...)
	}
	most, count := 1.0, 1
	for _, side := range sides {
		values := of(side)
		count = max(count, len(values))
		for _, value := range values {
			most = max(most, value)
		}
	}
	// Room for the legend and for the bars at the ends.
	drawn.Y.Min, drawn.Y.Max = 0, 1.35*most
	drawn.X.Min, drawn.X.Max = -0.7, float64(count)-0.3
	return save(drawn, path)
}

func save(drawn *plot.Plot, path string) error {
	if err := drawn.Save(18*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("draw %s: %w", path, err)
	}
	return nil
}

// Run runs a mix under two settings, each with count seeds, and writes the report.
func Run(virtual simulator.VirtualTime, mix simulator.Mix, variants [2]simulator.Variant, seed uint64, count int, span kernel.Micros, folder, command string) error {
	var sides [2]*Side
	for i, variant := range variants {
		sides[i] = NewSide(variant.Name, mix.Plan(variant, seed, span))
		for more := range uint64(max(count, 1)) {
			var outcome simulator.RoutedOutcome
			if err := virtual.Run(variant.Name, func() { outcome = simulator.RunRouted(mix.Plan(variant, seed+more, span)) }); err != nil {
				return err
			}
			if err := sides[i].Add(outcome); err != nil {
				return err
			}
		}
	}
	return Write(folder, mix.Name+": "+variants[0].Name+" against "+variants[1].Name, command, sides)
}
