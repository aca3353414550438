package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/platform"
	"dunlinloom/test/checker"
	"dunlinloom/test/childprocess"
	"dunlinloom/test/summary"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64               `json:"seed"`
	SpanS      float64              `json:"span_s"`
	Closing    string               `json:"closing"`
	Steps      []string             `json:"steps"`
	Review     checker.RoutedReport `json:"review"`
	Orders     []checker.Violation  `json:"orders"`
	Problems   []string             `json:"problems"`
	Sent       int                  `json:"orders_sent"`
	Answered   int                  `json:"orders_acknowledged"`
	Reads      int                  `json:"reads_answered"`
	Violations int                  `json:"violations"`
	// MemoryMB is the largest resident memory of a node's process at the end of the run.
	MemoryMB int64 `json:"memory_mb"`

	rules      int
	firstChunk checker.Latency
	faults     []checker.FaultCost
}

// Page returns the report as a summary page.
func (r *Report) Page() *summary.Page {
	page := &summary.Page{
		Run:   fmt.Sprintf("soak of deployed nodes (seed %d, %.0f s of faults, then %s)", r.Seed, r.SpanS, r.Closing),
		Rules: r.rules, Violations: append(append([]checker.Violation(nil), r.Review.Violations...), r.Orders...), Problems: r.Problems, Faults: r.faults,
	}
	page.Add("attempts served", "%s", summary.Share(r.Review.Served, r.Review.Attempts))
	page.Add("not served", "%s", summary.Counts(summary.Endings(r.Review.Endings)))
	page.Add("first event of streams", "%s", summary.Latency(r.firstChunk))
	page.Add("retries", "%d arrivals at engines beyond the first of their attempt", r.Review.ExtraArrivals)
	page.Add("operations", "%s acknowledged, %d reads answered", summary.Share(r.Answered, r.Sent), r.Reads)
	page.Add("memory of a node", "at most %d MB", r.MemoryMB)
	return page
}

// report checks all recorded events and returns the result.
func (f *fleet) report() *Report {
	f.readLogs()
	f.lock.Lock()
	defer f.lock.Unlock()
	drawn := f.settings.drawPlan()
	report := &Report{Seed: f.settings.Seed, SpanS: seconds(f.settings.Span), Closing: drawn.closing}
	for _, s := range drawn.steps {
		line := s.String()
		if why, isSkipped := f.skipped[s.index]; isSkipped {
			line += ": not carried out, " + why
		}
		report.Steps = append(report.Steps, line)
	}
	report.Review = checker.CheckRouted(f.routed, checker.RoutedBounds{
		DrainTimeout: drainTimeout, GracePeriod: gracePeriod, Slack: slackSpan, ContactTimeout: contactTimeout, RetryRatio: retryRatio, RetrySlack: retrySlack,
		RetryWindow: retryWindow, MaxRejected: 5, RejectedOneIn: 500, Splits: splitWeights(), Tenants: f.tenancy.bounds(),
	})
	report.rules = len(checker.RoutedRules()) + len(checker.OperationRules())
	if f.tenancy != nil {
		report.rules += len(checker.TenantRules())
	}
	report.firstChunk, report.faults = checker.RoutedFirstChunkLatency(f.routed), checker.RoutedFaultCosts(f.routed)
	report.MemoryMB = f.memoryMB
	report.Orders, report.Problems = checker.CheckOperations(f.orders), f.problems
	for _, event := range f.orders {
		switch {
		case event.EventKind == checker.OperationSent:
			report.Sent++
		case event.EventKind == checker.OperationEnded && event.Status == http.StatusOK:
			report.Answered++
		case event.EventKind == checker.ReadAnswered:
			report.Reads++
		}
	}
	report.checkActivity()
	sort.Strings(report.Problems)
	report.Violations = len(report.Review.Violations) + len(report.Orders) + len(report.Problems)
	return report
}

// readLogs records a problem for each fault in the nodes' logs.
func (f *fleet) readLogs() {
	faults, err := childprocess.ScanLogs(f.settings.Folder)
	if err != nil {
		f.problem("%v", err)
	}
	for _, fault := range faults {
		f.problem("%s", fault)
	}
}

// checkActivity records a problem if the run lacks activity that every run has to show. Without such activity the
// rules would hold trivially.
func (r *Report) checkActivity() {
	for _, activity := range []struct {
		name  string
		count int
	}{
		{"request was served", r.Review.Served}, {"run was seen by an engine", r.Review.Runs},
		{"operation was acknowledged", r.Answered}, {"read was answered", r.Reads},
	} {
		if activity.count == 0 {
			r.Problems = append(r.Problems, "no "+activity.name)
		}
	}
}

// restSpan is how long nodes may hold requests and bodies after the last caller has left.
const restSpan = 12 * kernel.Second

// zeroWhenIdle lists the metrics that have to be zero when there are no callers.
var zeroWhenIdle = []string{"dunlinloom_requests_live", "dunlinloom_bodies_held_bytes"}

// inspectNodes checks the metrics of the nodes after traffic has ended.
func (f *fleet) inspectNodes(ctx context.Context) {
	f.inspectCore(ctx)
	f.measureMemory()
	for _, n := range f.retiredNodes() {
		if n.process.IsRunning() {
			f.problem("%s is running although it was replaced", n.name)
		}
	}
	for _, n := range f.members() {
		until := f.clock.Now() + restSpan
		left := f.unexpectedMetrics(ctx, n)
		for len(left) > 0 && f.clock.Now() < until {
			pause(ctx, 200*ms)
			left = f.unexpectedMetrics(ctx, n)
		}
		for _, why := range left {
			f.problem("%s: %s", n.name, why)
		}
	}
}

// measureMemory records the largest resident memory of a node's process.
func (f *fleet) measureMemory() {
	for _, n := range f.members() {
		resident := n.process.MemoryBytes() >> 20
		f.lock.Lock()
		f.memoryMB = max(f.memoryMB, resident)
		f.lock.Unlock()
	}
}

// unexpectedMetrics returns one message for each metric of a node that has an unexpected value.
func (f *fleet) unexpectedMetrics(ctx context.Context, n *node) []string {
	metrics, err := f.metricsOf(ctx, n)
	if err != nil {
		return []string{fmt.Sprintf("read its metrics: %v", err)}
	}
	wrong, isCounted := []string{}, false
	for name, value := range metrics {
		isInvariant := strings.HasPrefix(name, checker.InvariantMetric)
		isCounted = isCounted || isInvariant
		if isInvariant && value > 0 {
			wrong = append(wrong, fmt.Sprintf("%s is %v", name, value))
		}
	}
	if !isCounted {
		wrong = append(wrong, "it does not export the metric "+checker.InvariantMetric)
	}
	for _, name := range zeroWhenIdle {
		if value, isExported := metrics[name]; !isExported || value != 0 {
			wrong = append(wrong, fmt.Sprintf("%s is %v (exported: %v)", name, value, isExported))
		}
	}
	if up := f.countUpEngines(); metrics["dunlinloom_engines_usable"] != float64(up) {
		wrong = append(wrong, fmt.Sprintf("it considers %v engines usable, but %d are up", metrics["dunlinloom_engines_usable"], up))
	}
	sort.Strings(wrong)
	return wrong
}

// countUpEngines returns the number of engines that are up.
func (f *fleet) countUpEngines() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	count := 0
	for _, e := range f.engines {
		e.lock.Lock()
		if !e.hasEnded && e.state == platform.StateUp {
			count++
		}
		e.lock.Unlock()
	}
	return count
}

// coreRecoverySpan is how long the control plane may take to have all its voters again after the last fault.
const coreRecoverySpan = 20 * kernel.Second

// inspectCore waits until exactly one node leads a complete control plane and all nodes have applied the same
// configuration. It records a problem if that takes longer than coreRecoverySpan.
func (f *fleet) inspectCore(ctx context.Context) {
	until := f.clock.Now() + coreRecoverySpan
	why := f.coreFault(ctx)
	for why != "" && f.clock.Now() < until {
		pause(ctx, 200*ms)
		why = f.coreFault(ctx)
	}
	if why != "" {
		f.problem("the control plane did not recover by the end of the run: %s", why)
	}
}

// coreFault returns what is wrong with the control plane according to the nodes' metrics, or an empty string.
func (f *fleet) coreFault(ctx context.Context) string {
	leaders, complete, generations := 0, 0, map[float64]bool{}
	for _, n := range f.members() {
		metrics, err := f.metricsOf(ctx, n)
		if err != nil {
			return fmt.Sprintf("read the metrics of %s: %v", n.name, err)
		}
		leaders += int(metrics["dunlinloom_leads"])
		complete += int(metrics["dunlinloom_core_whole"])
		generations[metrics["dunlinloom_generation"]] = true
	}
	if leaders != 1 || complete != 1 || len(generations) != 1 {
		return fmt.Sprintf("%d nodes lead, %d of them with all voters; %d different configurations are in force", leaders, complete, len(generations))
	}
	return ""
}

// metricsOf reads a node's metrics.
func (f *fleet) metricsOf(ctx context.Context, n *node) (map[string]float64, error) {
	limit, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+n.address(portMetrics)+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.client.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(response.Body)
	metrics := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			metrics[name] = value
		}
	}
	return metrics, lines.Err()
}
