// Package summary writes the short human-readable page at the end of a test run. Programs read the full report, which
// is JSON.
package summary

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Page is the result of a run.
type Page struct {
	Run        string // description of the run
	Rules      int    // number of rules that were checked
	Violations []checker.Violation
	Problems   []string // failures of the run other than violations of rules
	Facts      []Fact
	Faults     []checker.FaultCost
}

// Fact is one line of a page.
type Fact struct{ Name, Text string }

// maxShown bounds the violations, problems and faults that a page lists.
const maxShown = 12

// IsClean reports whether the run had neither violations nor problems.
func (p *Page) IsClean() bool { return len(p.Violations) == 0 && len(p.Problems) == 0 }

// Add appends a fact.
func (p *Page) Add(name, format string, values ...any) {
	p.Facts = append(p.Facts, Fact{name, fmt.Sprintf(format, values...)})
}

// Verdict returns the result of the run in one line.
func (p *Page) Verdict() string {
	if p.IsClean() {
		return fmt.Sprintf("PASSED: none of the %d rules that were checked was broken", p.Rules)
	}
	return fmt.Sprintf("FAILED: %s of the %d rules that were checked, %s of the run", pluralize(len(p.Violations), "violation"), p.Rules, pluralize(len(p.Problems), "problem"))
}

// Write writes the page.
func (p *Page) Write(to io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n%s\n", p.Run, p.Verdict())
	for i, violation := range p.Violations {
		if i == maxShown {
			fmt.Fprintf(&text, "  and %d more\n", len(p.Violations)-i)
			break
		}
		fmt.Fprintf(&text, "  %s: %s: %s\n", Span(violation.At), violation.Rule, violation.Detail)
	}
	for i, problem := range p.Problems {
		if i == maxShown {
			fmt.Fprintf(&text, "  and %d more\n", len(p.Problems)-i)
			break
		}
		fmt.Fprintf(&text, "  %s\n", problem)
	}
	text.WriteByte('\n')
	if err := writeTable(&text, p.rows()); err != nil {
		return err
	}
	if _, err := io.WriteString(to, text.String()); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// writeTable aligns rows of tab-separated cells in columns.
func writeTable(to io.Writer, rows string) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// rows returns the facts, followed by the cost of each fault in descending order.
func (p *Page) rows() string {
	var rows strings.Builder
	for _, fact := range p.Facts {
		fmt.Fprintf(&rows, "%s\t%s\n", fact.Name, fact.Text)
	}
	if len(p.Faults) == 0 {
		return rows.String()
	}
	faults := append([]checker.FaultCost(nil), p.Faults...)
	sort.SliceStable(faults, func(a, b int) bool { return faults[a].Unserved > faults[b].Unserved })
	rows.WriteString("\nfault\tinjected at\tnot served after it\tlast one not served after\n")
	for i, fault := range faults {
		if i == maxShown {
			fmt.Fprintf(&rows, "and %d more\n", len(faults)-i)
			break
		}
		after := "-"
		if fault.Unserved > 0 {
			after = Span(fault.LastAfter)
		}
		fmt.Fprintf(&rows, "%s\t%s\t%d\t%s\n", fault.Fault, Span(fault.At), fault.Unserved, after)
	}
	return rows.String()
}

// Span formats a duration with its unit.
func Span(span kernel.Micros) string {
	switch {
	case span < kernel.Millisecond:
		return fmt.Sprintf("%d us", span)
	case span < kernel.Second:
		return fmt.Sprintf("%d ms", span/kernel.Millisecond)
	}
	return fmt.Sprintf("%.1f s", float64(span)/float64(kernel.Second))
}

// Bytes formats a number of bytes with its unit.
func Bytes(bytes float64) string {
	switch {
	case bytes < 1e3:
		return fmt.Sprintf("%.0f B", bytes)
	case bytes < 1e6:
		return fmt.Sprintf("%.1f kB", bytes/1e3)
	}
	return fmt.Sprintf("%.1f MB", bytes/1e6)
}

// Share formats a part of a whole with its percentage.
func Share(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%d of %d (%.2f %%)", part, whole, 100*float64(part)/float64(whole))
}

// Counts formats named counts in descending order and omits zeros.
func Counts(counts map[string]int) string {
	names := []string{}
	for name, number := range counts {
		if number > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	sort.Slice(names, func(a, b int) bool {
		if counts[names[a]] != counts[names[b]] {
			return counts[names[a]] > counts[names[b]]
		}
		return names[a] < names[b]
	})
	texts := []string{}
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(texts, ", ")
}

// LargestBytes formats the largest of the named numbers of bytes and the sum of the others.
func LargestBytes(bytes map[string]float64) string {
	const shown = 4
	names := []string{}
	for name := range bytes {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		if bytes[names[a]] != bytes[names[b]] {
			return bytes[names[a]] > bytes[names[b]]
		}
		return names[a] < names[b]
	})
	texts, rest := []string{}, 0.0
	for i, name := range names {
		if i < shown {
			texts = append(texts, name+" "+Bytes(bytes[name]))
		} else {
			rest += bytes[name]
		}
	}
	if rest > 0 {
		texts = append(texts, "all else "+Bytes(rest))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}

// Latency formats the latency to the first byte of responses.
func Latency(latency checker.Latency) string {
	if latency.Count == 0 {
		return "none was served"
	}
	return fmt.Sprintf("median %s, p99 %s", Span(latency.Median), Span(latency.P99))
}

func pluralize(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", number, noun)
}
