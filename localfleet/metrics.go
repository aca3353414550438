package localfleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Counters read from the nodes' metrics, kept over kills.

// scrape keeps the newest counters of every process of a node, so that a kill
// loses no more than the time since the last look.
func (s *Cluster) scrape(ctx context.Context) {
	for _, node := range s.members() {
		limit, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		status, _, body, err := do(limit, http.MethodGet, "http://"+node.public+"/metrics", nil, nil)
		cancel()
		if err != nil || status != http.StatusOK {
			continue
		}
		s.lock.Lock()
		key := fmt.Sprintf("%s#%d", node.name, s.starts[node.name])
		counters := map[string]float64{}
		lines := bufio.NewScanner(bytes.NewReader(body))
		for lines.Scan() {
			var name string
			var value float64
			if n, err := fmt.Sscanf(lines.Text(), "%s %g", &name, &value); n == 2 && err == nil {
				counters[name] = value
			}
		}
		s.counters[key] = counters
		s.lock.Unlock()
	}
}

// most is the largest value that any process showed.
func (s *Cluster) most(name string) float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	largest := 0.0
	for _, counters := range s.counters {
		largest = max(largest, counters[name])
	}
	return largest
}

// crossed sums the bytes that nodes sent to nodes of other zones: on the wire, and as
// encoded by kind of message.
func (s *Cluster) crossed() (wire float64, kinds map[string]float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	kinds = map[string]float64{}
	for _, node := range append(slices.Clone(s.nodes), s.gone...) {
		for key, counters := range s.counters {
			if name, _, _ := strings.Cut(key, "#"); name != node.name {
				continue
			}
			for metric, value := range counters {
				labels := metricOf.FindStringSubmatch(metric)
				switch {
				case labels == nil || labels[3] == node.zone:
				case labels[2] == "":
					wire += value
				default:
					kinds[labels[2]] += value
				}
			}
		}
	}
	return wire, kinds
}

// metricOf reads the two metrics of bytes between nodes.
var metricOf = regexp.MustCompile(`^dunlinloom_peer_(?:bytes_sent|message_bytes)_total\{(kind="(\w+)",)?to="(\w+)"\}$`)

func (s *Cluster) total(name string) float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	sum := 0.0
	for _, counters := range s.counters {
		for key, value := range counters {
			if key == name || strings.HasPrefix(key, name+"{") {
				sum += value
			}
		}
	}
	return sum
}
