package soak

import (
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/server"
	"dunlinloom/test/checker"
	"dunlinloom/test/localfleet"
)

// Steps that cut links between nodes, lose messages, or make disks fail.

// cutFor cuts network links for the step's span.
func (f *fleet) cutFor(s step, links []localfleet.Link) error {
	if err := f.faults.Cut(links); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.Restore(links)
}

// cutNode returns a step that cuts a node off from all others in one or both directions.
func cutNode(isIn, isOut bool) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		n := f.anyOf(random)
		defer f.recordFault(s, "", n.name)()
		f.loseContact(n)
		defer f.restoreContact(n)
		links := []localfleet.Link{}
		for _, other := range f.members() {
			if other == n {
				continue
			}
			if isOut {
				links = append(links, localfleet.Link{From: n.address(portPeers), To: other.address(portPeers)})
			}
			if isIn {
				links = append(links, localfleet.Link{From: other.address(portPeers), To: n.address(portPeers)})
			}
		}
		return f.cutFor(s, links)
	}
}

func (f *fleet) anyOf(random *rand.Rand) *node {
	nodes := f.members()
	return nodes[random.IntN(len(nodes))]
}

// splitCore partitions one node with a disk from the other nodes with a disk. Nodes without a disk still reach all of
// them.
func splitCore(f *fleet, s step, random *rand.Rand) error {
	core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
	random.Shuffle(len(core), func(a, b int) { core[a], core[b] = core[b], core[a] })
	defer f.recordFault(s, "", "")()
	f.loseContact(core[0])
	defer f.restoreContact(core[0])
	links := []localfleet.Link{}
	for _, one := range core[:1] {
		for _, other := range core[1:] {
			links = append(links, localfleet.Link{From: one.address(portPeers), To: other.address(portPeers)}, localfleet.Link{From: other.address(portPeers), To: one.address(portPeers)})
		}
	}
	return f.cutFor(s, links)
}

// loseMessages loses, duplicates and delays messages between nodes at random.
func loseMessages(f *fleet, s step, _ *rand.Rand) error {
	defer f.recordFault(s, "", "")()
	f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactLost})
	defer f.recordEvent(checker.RoutedEvent{EventKind: checker.ContactRestored})
	if err := f.faults.SetLinks(server.LinkFault{Loss: 0.2, Double: 0.1, DelayUS: 50_000}); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.faults.SetLinks(server.LinkFault{})
}

func failDisk(fault server.DiskFault) faultFunc {
	return func(f *fleet, s step, random *rand.Rand) error {
		core := slices.DeleteFunc(f.members(), func(n *node) bool { return !n.hasDisk })
		n := core[random.IntN(len(core))]
		defer f.recordFault(s, "", n.name)()
		f.loseContact(n)
		defer f.restoreContact(n)
		peer := n.address(portPeers)
		if err := f.faults.SetDisk(peer, fault); err != nil {
			return err
		}
		pause(f.context, s.span)
		return f.faults.SetDisk(peer, server.DiskFault{})
	}
}
