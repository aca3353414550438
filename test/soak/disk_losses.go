package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dunlinloom/internal/server"
)

// Losses of as many disks as the fleet tolerates, alone or while all other nodes lose power.

// caughtUpVoters returns the peer addresses of the voters that have the newest committed document on their disks, as the
// leader sees them; none if no leader answers.
func (f *fleet) caughtUpVoters(ctx context.Context) []string {
	for _, n := range f.members() {
		view, err := f.coreOf(ctx, n)
		if err != nil {
			continue
		}
		found := []string{}
		for _, voter := range view.Voters {
			if voter.IsCaughtUp {
				found = append(found, voter.Address)
			}
		}
		return found
	}
	return nil
}

// coreOf reads the health of the core at the node that leads it. Other nodes give an error.
func (f *fleet) coreOf(ctx context.Context, n *node) (*server.CoreView, error) {
	limit, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+n.address(portMetrics)+"/v1/core", nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: f.client.HTTP.Transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(response.Body)
	if response.StatusCode != http.StatusOK {
		return nil, NotLeadingError{n.name}
	}
	view := &server.CoreView{}
	return view, json.NewDecoder(response.Body).Decode(view)
}

// NotLeadingError reports that a node does not lead the core.
type NotLeadingError struct{ Node string }

func (e NotLeadingError) Error() string { return e.Node + " does not lead the core" }

// pickDisks returns as many nodes with a disk as may lose it at once. Voters that hold the newest document come first.
func (f *fleet) pickDisks(ctx context.Context, random *rand.Rand) []*node {
	nodes := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	random.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
	holders := f.caughtUpVoters(ctx)
	isHolder := func(n *node) int {
		if slices.Contains(holders, n.address(portPeers)) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return isHolder(b) - isHolder(a) })
	return nodes[:f.settings.toleratedLosses()]
}

// losePowerAndDisks ends all processes at the same time, as a loss of power does, removes the data of the given nodes,
// and starts all again after the step's span.
func (f *fleet) losePowerAndDisks(victims []*node) func(n *node) error {
	return func(n *node) error {
		if err := f.powerOff(n); err != nil || !slices.Contains(victims, n) {
			return err
		}
		return f.wipe(n)
	}
}

// wipeAndPowerOff is a step in which as many disks as are tolerated are lost while all other nodes lose power, those
// without a disk too.
func wipeAndPowerOff(f *fleet, s step, random *rand.Rand) error {
	if !f.canLoseDisk() {
		return errDiskNeeded
	}
	defer f.recordFault(s, "", "")()
	return f.endAll(f.members(), s.span/4, f.losePowerAndDisks(f.pickDisks(f.context, random)))
}
