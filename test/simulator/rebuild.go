package simulator

import (
	"fmt"
	"io"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// MeasureRebuild measures how long recovery takes after the core is rebuilt from one survivor.
// The times count from the start of the rebuilt controller; all other machines start a second
// later with empty disks.
func MeasureRebuild(to io.Writer, first uint64, count int) {
	served, acknowledged, voted := []kernel.Micros{}, []kernel.Micros{}, []kernel.Micros{}
	for seed := first; seed < first+uint64(count); seed++ {
		w := WorldOf(seed, "cronometro")
		if !w.Open() {
			panic(kernel.ServiceError{Name: "measurement", Reason: "the fleet did not bootstrap"})
		}
		survivor := w.core()[0]
		for _, m := range w.machines {
			m.halt()
			if m.disk != nil && m != survivor {
				m.disk.files = map[string][]byte{}
			}
		}
		stored, err := storage.ReadSurvivor(survivor.disk)
		if err == nil {
			self := cluster.Member{ID: "rebuilt", Address: survivor.identity.Address, Zone: survivor.identity.Zone}
			err = storage.WriteRebuilt(survivor.disk, stored.Fleet, stored.Rebuild(self, "anew"))
		}
		if err != nil {
			panic(kernel.ServiceError{Name: "measurement", Reason: err.Error()})
		}
		w.committedDigests = map[uint64]string{}
		begun, accepted := w.now, w.operator.Accepted
		survivor.boot()
		w.Run(sec)
		for _, m := range w.machines {
			if m != survivor {
				m.boot()
			}
		}
		w.operator.putConfig(nil)
		until := func(isMet func() bool) kernel.Micros {
			for !isMet() && w.now-begun < 60*sec {
				w.Run(10 * ms)
			}
			return w.now - begun
		}
		served = append(served, until(func() bool { return w.ready() == len(w.machines) }))
		acknowledged = append(acknowledged, until(func() bool { return w.operator.Accepted > accepted }))
		voted = append(voted, until(func() bool { return len(w.newestDocument().Voters) == voterCountWanted }))
	}
	fmt.Fprintf(to, "### After a core was rebuilt\n\ncronometro, seeds %d to %d, seconds from the start of the rebuilt controller\n\n| every router serves | first accepted submission | three voters |\n|---|---|---|\n|", first, first+uint64(count)-1)
	for _, spans := range [][]kernel.Micros{served, acknowledged, voted} {
		slices.Sort(spans)
		fmt.Fprintf(to, " %.2f (%.2f to %.2f) |", float64(spans[len(spans)/2])/1e6, float64(spans[0])/1e6, float64(spans[len(spans)-1])/1e6)
	}
	fmt.Fprintln(to)
}
