package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Counts are the dispatcher's running figures.
type Counts struct {
	Requests, FirstAttempts, Retries, Diverts, AdmissionDiverts uint64
	Served, CallerDisconnects, Resumes                          uint64
	Rejected                                                    map[string]uint64
	Broken                                                      map[string]uint64
}

// Since tells what was not served since an earlier count; nothing when all was.
func (c Counts) Since(before Counts) string {
	parts := []string{}
	for _, sort := range []struct{ now, before map[string]uint64 }{{c.Rejected, before.Rejected}, {c.Broken, before.Broken}} {
		for _, reason := range slices.Sorted(maps.Keys(sort.now)) {
			if more := sort.now[reason] - sort.before[reason]; more > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", reason, more))
			}
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprintf("%s; %d of %d served", strings.Join(parts, ", "), c.Served-before.Served, c.Requests-before.Requests)
}
