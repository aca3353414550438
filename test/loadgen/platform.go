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

// probeInterval is the pause between readiness probes of the nodes, and probeTimeout bounds each probe.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
)

// Node is a node that the platform may assign callers to. Address is a host and port.
type Node struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Platform assigns callers to ready nodes of their zone, as a load balancer does. Its view of which nodes are ready
// lags by about probeInterval.
type Platform struct {
	lock  sync.Mutex
	nodes []Node
	ready map[string]bool
	file  string
}

// FileError reports that the list of nodes in a file cannot be used.
type FileError struct {
	Name  string
	Cause error
}

func (err FileError) Error() string {
	return fmt.Sprintf("load the nodes from %s: %v", err.Name, err.Cause)
}

// Unwrap returns the cause.
func (err FileError) Unwrap() error { return err.Cause }

// NoNodesError reports that there is no node to assign callers to. As the cause of a FileError, it reports an empty
// list.
type NoNodesError struct{}

func (NoNodesError) Error() string { return "the list of nodes is empty" }

// NewPlatform returns a platform with the given nodes or, if file is not empty, with the nodes in that JSON file, which
// Watch reads again after each probe. It fails with a FileError or a NoNodesError.
func NewPlatform(nodes []Node, file string) (*Platform, error) {
	p := &Platform{nodes: nodes, ready: map[string]bool{}, file: file}
	if file != "" {
		if err := p.reload(); err != nil {
			return nil, err
		}
	}
	if len(p.nodes) == 0 {
		return nil, NoNodesError{}
	}
	return p, nil
}

// reload replaces the nodes by those in the file. It keeps them if the file is not usable.
func (p *Platform) reload() error {
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

// Watch probes the readiness of all nodes, with pauses of probeInterval, until the context ends.
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
			// A file that is being written may be incomplete. In that case the nodes are kept, and the file is
			// read again after the next probe.
			_ = p.reload()
		}
	}
}

// probe reports whether a node is ready. A node that does not respond is not.
func probe(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// Only the status matters, so errors of the body are ignored.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NodeFor returns the address of the node for an attempt of a caller. The caller's index selects its zone and
// one of the ready nodes in that zone, or one of all nodes there if none is ready. Each retry selects the next node.
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
