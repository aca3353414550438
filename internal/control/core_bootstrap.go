package control

import (
	"fmt"
	"slices"
	"sort"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Bootstrap under the rule BootstrapFromSeeds, where all seeds in the settings become the first voters.

// probeResult is the last response of a seed and the time at which it arrived.
type probeResult struct {
	receivedAt kernel.Micros
	response   wire.BootstrapProbeResponse
}

// onBootstrapProbe tells a probing seed whether this member is empty and can store a document.
func (c *Core) onBootstrapProbe(from string) {
	c.send(from, wire.Message{BootstrapProbeResponse: &wire.BootstrapProbeResponse{
		Member: c.settings.Self, IsEmpty: c.doc == nil, HasFolder: c.settings.HasFolder,
	}})
}

// onBootstrapProbeResponse keeps the latest response of a seed.
func (c *Core) onBootstrapProbeResponse(from string, m *wire.BootstrapProbeResponse) {
	c.bootstrapProbes[from] = probeResult{c.now, *m}
}

// bootstrapFromSeeds creates the first document once all seeds are known to be empty and to have a data folder. A
// seed's response counts for a second. Only the seed with the lowest address creates the document, so that there is one
// proposer. It stands for election once the document is synced.
func (c *Core) bootstrapFromSeeds() {
	if c.settings.BootstrapRule != BootstrapFromSeeds || c.doc != nil || !c.settings.HasFolder || c.now < c.bootstrapTimer {
		return
	}
	members := slices.Clone(c.settings.Seeds)
	sort.Strings(members)
	if len(members) == 0 || members[0] != c.settings.Self.Address {
		return
	}
	c.bootstrapTimer = c.now + 3*c.settings.Timing.HeartbeatInterval
	voters := []cluster.Member{c.settings.Self}
	for _, address := range members[1:] {
		c.send(address, wire.Message{BootstrapProbe: &wire.BootstrapProbe{}})
		result, hasResponded := c.bootstrapProbes[address]
		if hasResponded && c.now-result.receivedAt < kernel.Second && result.response.IsEmpty && result.response.HasFolder {
			voters = append(voters, result.response.Member)
		}
	}
	if len(voters) < len(members) {
		return
	}
	first := &cluster.Document{
		ClusterID: cluster.DigestOf([]byte(fmt.Sprint(c.settings.Random.Uint64(), c.settings.Random.Uint64()))),
		Revision:  1, Term: 1, Voters: voters, Coordinators: map[string]string{}, DrainedZones: map[string]uint64{},
	}
	c.note(decision.Core, decision.Bootstrap, "all %d seeds are reachable and empty", len(members))
	c.term = max(c.term, 1)
	c.save(first, func() { c.startElection(true, false) })
	c.doc = first
}
