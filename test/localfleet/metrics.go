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

// This file collects counters from the nodes' metrics and keeps them when a node is killed.

// scrape stores the latest counters per node and process start, so that a kill loses only what was counted since the
// last scrape.
func (cluster *Cluster) scrape(ctx context.Context) {
	for _, node := range cluster.members() {
		limit, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		status, _, body, err := request(limit, http.MethodGet, "http://"+node.public+"/metrics", nil, nil)
		cancel()
		if err != nil || status != http.StatusOK {
			continue
		}
		cluster.lock.Lock()
		key := fmt.Sprintf("%s#%d", node.name, cluster.starts[node.name])
		counters := map[string]float64{}
		lines := bufio.NewScanner(bytes.NewReader(body))
		for lines.Scan() {
			var name string
			var value float64
			if n, err := fmt.Sscanf(lines.Text(), "%s %g", &name, &value); n == 2 && err == nil {
				counters[name] = value
			}
		}
		cluster.counters[key] = counters
		cluster.lock.Unlock()
	}
}

// largest returns the largest value of a counter over all processes.
func (cluster *Cluster) largest(name string) float64 {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	largest := 0.0
	for _, counters := range cluster.counters {
		largest = max(largest, counters[name])
	}
	return largest
}

// bytesBetweenZones sums the bytes that nodes sent to nodes in other zones: the bytes on the wire, and the encoded
// bytes by kind of message.
func (cluster *Cluster) bytesBetweenZones() (wire float64, kinds map[string]float64) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	kinds = map[string]float64{}
	for _, node := range append(slices.Clone(cluster.nodes), cluster.replaced...) {
		for key, counters := range cluster.counters {
			if name, _, _ := strings.Cut(key, "#"); name != node.name {
				continue
			}
			for metric, value := range counters {
				labels := peerBytesMetric.FindStringSubmatch(metric)
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

// peerBytesMetric matches the two metrics that count bytes between nodes.
var peerBytesMetric = regexp.MustCompile(`^dunlinloom_peer_(?:bytes_sent|message_bytes)_total\{(kind="(\w+)",)?to="(\w+)"\}$`)

func (cluster *Cluster) total(name string) float64 {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	sum := 0.0
	for _, counters := range cluster.counters {
		for key, value := range counters {
			if key == name || strings.HasPrefix(key, name+"{") {
				sum += value
			}
		}
	}
	return sum
}
