package gossip

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// PartialView is a node's view of a few other nodes of the fleet. The node exchanges parts of it with them.
type PartialView struct {
	self          Neighbour
	view          []Neighbour
	seeds         []string
	nextShuffleAt kernel.Micros
	interval      kernel.Micros
	sentTo        string      // the node to which the last request was sent
	sent          []Neighbour // the entries of the view in that request
	randomIndex   func(int) int
}

const (
	viewSize    = 8 // maximum number of neighbours in a view
	shuffleSize = 4 // maximum number of neighbours in a shuffle
)

// NewPartialView returns an empty view. As long as it is empty, each shuffle goes to a random seed. The function
// randomIndex returns a random number from zero up to, but not including, its argument.
func NewPartialView(self Neighbour, seeds []string, interval kernel.Micros, randomIndex func(int) int) *PartialView {
	return &PartialView{self: self, seeds: seeds, interval: interval, randomIndex: randomIndex}
}

// Neighbours returns the addresses in the view.
func (v *PartialView) Neighbours() []string {
	addresses := make([]string, 0, len(v.view))
	for _, neighbour := range v.view {
		addresses = append(addresses, neighbour.Address)
	}
	return addresses
}

// HasNeighbours reports whether the view has exactly these addresses, in this order.
func (v *PartialView) HasNeighbours(addresses []string) bool {
	if len(addresses) != len(v.view) {
		return false
	}
	for i, neighbour := range v.view {
		if neighbour.Address != addresses[i] {
			return false
		}
	}
	return true
}

// Tick returns the neighbour to shuffle with and the message for it, or an empty address if the next shuffle is
// not due or no node is known.
func (v *PartialView) Tick(now kernel.Micros) (to string, shuffle *Shuffle) {
	if now < v.nextShuffleAt {
		return "", nil
	}
	v.nextShuffleAt = now + v.interval
	if len(v.view) == 0 {
		seeds := slices.DeleteFunc(slices.Clone(v.seeds), func(seed string) bool { return seed == v.self.Address })
		if len(seeds) == 0 {
			return "", nil
		}
		v.sentTo, v.sent = seeds[v.randomIndex(len(seeds))], nil
		return v.sentTo, &Shuffle{View: []Neighbour{v.self}}
	}
	oldest := 0
	for i := range v.view {
		v.view[i].Age++
		if v.view[i].Age > v.view[oldest].Age {
			oldest = i
		}
	}
	// The oldest neighbour is removed, so that nodes that have failed leave the view. If it is alive, its reply adds it
	// again.
	v.sentTo = v.view[oldest].Address
	v.view = slices.Delete(v.view, oldest, oldest+1)
	v.sent = v.sample(shuffleSize - 1)
	return v.sentTo, &Shuffle{View: append(slices.Clone(v.sent), v.self)}
}

func (v *PartialView) sample(limit int) []Neighbour {
	rest := slices.Clone(v.view)
	chosen := []Neighbour{}
	for len(rest) > 0 && len(chosen) < limit {
		index := v.randomIndex(len(rest))
		chosen = append(chosen, rest[index])
		rest = slices.Delete(rest, index, index+1)
	}
	return chosen
}

// HandleShuffle merges the received part of a neighbour's view. If the message is a request, it returns the reply.
func (v *PartialView) HandleShuffle(from string, m *Shuffle) *Shuffle {
	var reply *Shuffle
	given := v.sent
	if !m.IsReply {
		given = v.sample(shuffleSize)
		reply = &Shuffle{View: given, IsReply: true}
	} else if from == v.sentTo {
		v.merge([]Neighbour{{Address: from}}, nil)
	}
	v.merge(m.View, given)
	return reply
}

func (v *PartialView) merge(received, given []Neighbour) {
	for _, neighbour := range received {
		if neighbour.Address == v.self.Address {
			continue
		}
		index := slices.IndexFunc(v.view, func(known Neighbour) bool { return known.Address == neighbour.Address })
		if index >= 0 {
			v.view[index].Age = min(v.view[index].Age, neighbour.Age)
			if neighbour.Zone != "" {
				v.view[index].Zone = neighbour.Zone
			}
			continue
		}
		if len(v.view) >= viewSize {
			// An entry that was sent to the neighbour is replaced, so that entries are exchanged and not copied.
			// If there is none, the received entry is ignored.
			drop := slices.IndexFunc(v.view, func(known Neighbour) bool {
				return slices.ContainsFunc(given, func(sent Neighbour) bool { return sent.Address == known.Address })
			})
			if drop < 0 {
				continue
			}
			v.view = slices.Delete(v.view, drop, drop+1)
		}
		v.view = append(v.view, neighbour)
	}
}
