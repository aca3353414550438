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

// Platform hands callers to nodes of their zone, by a view of which are ready that
// lags by up to a second, as load balancers do.
type Platform struct {
	lock  sync.Mutex
	nodes []Node
	ready map[string]bool
	file  string
}

// FileError says why a list of nodes can't be used.
type FileError struct {
	Name  string
	Cause error
}

func (err FileError) Error() string { return fmt.Sprintf("nodes of %s: %v", err.Name, err.Cause) }

// Unwrap gives the cause.
func (err FileError) Unwrap() error { return err.Cause }

// NoNodesError says that there is nobody to hand callers to.
type NoNodesError struct{}

func (NoNodesError) Error() string { return "there is no node" }

// NewPlatform takes nodes, or a file that names them and is read again and again.
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

func (p *Platform) read() error {
	content, err := os.ReadFile(p.file)
	if err != nil {
		return FileError{p.file, err}
	}
	nodes := []Node{}
	if err := json.Unmarshal(content, &nodes); err != nil {
		return FileError{p.file, err}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.nodes = nodes
	return nil
}

// Watch looks which nodes are ready, once a second, until the context ends.
func (p *Platform) Watch(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for ctx.Err() == nil {
		p.lock.Lock()
		nodes := slices.Clone(p.nodes)
		p.lock.Unlock()
		var looks sync.WaitGroup
		for _, node := range nodes {
			looks.Go(func() {
				isReady := false
				if response, err := client.Get("http://" + node.Address + "/readyz"); err == nil {
					isReady = response.StatusCode == http.StatusOK
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				p.lock.Lock()
				p.ready[node.Address] = isReady
				p.lock.Unlock()
			})
		}
		looks.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		if p.file != "" {
			// A list that is just being changed is read again in a second.
			if err := p.read(); err != nil {
				continue
			}
		}
	}
}

// NodeFor gives the node for a caller's try. The turn stands for the caller: it says its
// zone, and which of the zone's ready nodes it is handed to.
func (p *Platform) NodeFor(nextIndex, attempt int) string {
	p.lock.Lock()
	defer p.lock.Unlock()
	zones := []string{}
	for _, node := range p.nodes {
		if !slices.Contains(zones, node.Zone) {
			zones = append(zones, node.Zone)
		}
	}
	zone := zones[nextIndex%len(zones)]
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
	return all[(nextIndex/len(zones)+attempt)%len(all)]
}
