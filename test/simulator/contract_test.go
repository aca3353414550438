package simulator

import (
	"testing"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/contracts"
)

func TestTheSimulatedDiskKeepsTheContracts(t *testing.T) {
	t.Parallel()
	open := func(*testing.T) kernel.Folder { return newDisk() }
	contracts.Folder(t, open)
	contracts.Store(t, open, func(folder kernel.Folder, steps int) { folder.(*disk).failAfter(steps) })
}

func TestTheSimulatedNetworkKeepsTheContract(t *testing.T) {
	t.Parallel()
	contracts.Transport(t, func(*testing.T) contracts.Link {
		w := WorldOf(1, "cronometro")
		from, to := w.machines[3], w.machines[4]
		got := []wire.Envelope{}
		to.deliver = func(envelope wire.Envelope) {
			// The fleet keeps sending its own messages, which are filtered out here.
			if envelope.From == from.identity.Address && envelope.Fleet == "fleet" {
				got = append(got, envelope)
			}
		}
		return contracts.Link{
			From: from.identity.Address, To: to.identity.Address, UnreachableAddress: "10.0.99.99:1",
			Send:    func(envelope wire.Envelope) { w.sendMessage(from, envelope) },
			Arrived: func(int) []wire.Envelope { w.Run(sec); return got },
		}
	})
}
