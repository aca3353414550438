package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// probeInterval is the time between probes of the nodes, and probeTimeout the time that a node has to answer.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
)

// Node is one that the platform may assign callers to; Address is a host and port.
type Node struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Platform assigns callers to nodes of their zone, by a view of which are ready that lags by about
// probeInterval, as load balancers do.
type Platform struct {
	lock  sync.Mutex
	nodes []Node
	ready map[string]bool
	file  string
}

// FileError says why the list of nodes in a file can't be used.
type FileError struct {
	Name  string
	Cause error
}

func (err FileError) Error() string { return fmt.Sprintf("nodes of %s: %v", err.Name, err.Cause) }

// Unwrap gives the cause.
func (err FileError) Unwrap() error { return err.Cause }

// NoNodesError says that there is no node to assign callers to. A file that lists none is not taken.
type NoNodesError struct{}

func (NoNodesError) Error() string { return "there is no node" }

// NewPlatform makes a platform of nodes, or of a file that lists them as JSON and is read again after each
// probe. It fails with a FileError or a NoNodesError.
func NewPlatform(nodes []Node, file string) (*Platform, error) {
	p := &Platform{nodes: nodes, ready: map[string]bool{}, file: file}
	if file != "" {
		if err := p.read(); err != nil {
			return nil, err
		}
	}
	if len(p.nodes) == 0 {
		return nil, NoNodesError{}
	}
	return p, nil
}

// read replaces the nodes by those of the file.
func (p *Platform) read() error {
	content, err := os.ReadFile(p.file)
	if err != nil {
		return FileError{p.file, err}
	}
	nodes := []Node{}
	if err := json.Unmarshal(content, &nodes); err != nil {
		return FileError{p.file, err}
	}
	if len(nodes) == 0 {
		return FileError{p.file, NoNodesError{}}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.nodes = nodes
	return nil
}

// Watch probes which nodes are ready, each probeInterval, until the context ends.
func (p *Platform) Watch(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for ctx.Err() == nil {
		p.lock.Lock()
		nodes := slices.Clone(p.nodes)
		p.lock.Unlock()
		var probes sync.WaitGroup
		for _, node := range nodes {
			probes.Go(func() {
				isReady := probe(ctx, client, node.Address)
				p.lock.Lock()
				p.ready[node.Address] = isReady
				p.lock.Unlock()
			})
		}
		probes.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
		if p.file != "" {
			// A list that is being changed may be incomplete: the nodes stay as they were, and it is read
			// again after the next probe.
			_ = p.read()
		}
	}
}

// probe reports whether a node says that it is ready. One that does not answer is not.
func probe(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// The status alone counts, so errors of the body are passed over.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NodeFor gives the address for an attempt of a caller. The index is the caller's: it selects its
// zone, and which of the zone's ready nodes it is assigned to; without ready ones, which of all.
func (p *Platform) NodeFor(callerIndex, attempt int) string {
	p.lock.Lock()
	defer p.lock.Unlock()
	zones := []string{}
	for _, node := range p.nodes {
		if !slices.Contains(zones, node.Zone) {
			zones = append(zones, node.Zone)
		}
	}
	zone := zones[callerIndex%len(zones)]
	ready, all := []string{}, []string{}
	for _, node := range p.nodes {
		if node.Zone != zone {
			continue
		}
		all = append(all, node.Address)
		if p.ready[node.Address] {
			ready = append(ready, node.Address)
		}
	}
	if len(ready) > 0 {
		all = ready
	}
	return all[(callerIndex/len(zones)+attempt)%len(all)]
}
