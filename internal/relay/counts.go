package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Counts has the dispatcher's counters since it was created. Requests are those that were passed to Admit. Diverts
// includes AdmissionDiverts, which are due to the limit on the time to first token. Retries leaves out the attempts
// that follow a canceled one. Rejected counts the rejections by Admit, of retries and because of overload, by reason.
// Broken counts the requests that may have run although no complete response was relayed, by reason.
type Counts struct {
	Requests, FirstAttempts, Retries, Diverts, AdmissionDiverts uint64
	Served, CallerDisconnects, Resumes                          uint64
	Rejected                                                    map[string]uint64
	Broken                                                      map[string]uint64
}

// Since describes the rejected and broken requests since an earlier copy of the counters. It returns the
// empty string if there were none.
func (c Counts) Since(before Counts) string {
	parts := append(increases(c.Rejected, before.Rejected), increases(c.Broken, before.Broken)...)
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprintf("%s; %d of %d served", strings.Join(parts, ", "), c.Served-before.Served, c.Requests-before.Requests)
}

func increases(now, before map[string]uint64) []string {
	parts := []string{}
	for _, reason := range slices.Sorted(maps.Keys(now)) {
		if increase := now[reason] - before[reason]; increase > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", reason, increase))
		}
	}
	return parts
}

func (c Counts) clone() Counts {
	c.Rejected, c.Broken = maps.Clone(c.Rejected), maps.Clone(c.Broken)
	return c
}
