package traproom

import (
	"testing"

	"dunlinloom/contracts"
	"dunlinloom/flyloft"
	"dunlinloom/house"
)

func TestTheSimulatedDiskKeepsTheContracts(t *testing.T) {
	open := func(*testing.T) house.Folder { return newDisk() }
	contracts.Folder(t, open)
	contracts.Store(t, open, func(folder house.Folder, steps int) { folder.(*disk).cutAfter(steps) })
}

func TestTheSimulatedNetworkKeepsTheContract(t *testing.T) {
	contracts.Transport(t, func(*testing.T) contracts.Link {
		w := WorldOf(1, "cronometro")
		from, to := w.machines[3], w.machines[4]
		got := []flyloft.Envelope{}
		to.deliver = func(envelope flyloft.Envelope) {
			// The fleet's own messages go on beside those of the test.
			if envelope.From == from.identity.Address && envelope.Fleet == "fleet" {
				got = append(got, envelope)
			}
		}
		return contracts.Link{
			From: from.identity.Address, To: to.identity.Address, Nowhere: "10.0.99.99:1",
			Send:    func(envelope flyloft.Envelope) { w.post(from, envelope) },
			Arrived: func(int) []flyloft.Envelope { w.Run(sec); return got },
		}
	})
}
