package simulator

// The platform's list of engines, which nodes see with a delay.

import (
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

type timedListing struct {
	at      kernel.Micros
	listing registry.Listing
}

func (w *World) updateListing() {
	w.revision++
	listing := registry.Listing{Revision: w.revision}
	for _, e := range w.engines {
		if !e.isUnlisted {
			state := "serving"
			if e.isListedDraining {
				state = "leaving"
			}
			listing.Engines = append(listing.Engines, registry.ListingEngine{ID: e.id, Address: "10.1.0.1:" + e.id[1:], Zone: e.zone, Pool: e.pool, Start: e.start, State: state})
		}
	}
	w.listings = append(w.listings, timedListing{w.now, listing})
}

func (w *World) delayedListing() registry.Listing {
	shown := w.listings[0].listing
	for _, past := range w.listings {
		if w.now-past.at >= w.listLag {
			shown = past.listing
		}
	}
	copied := shown
	copied.Engines = append([]registry.ListingEngine(nil), shown.Engines...)
	for i := range copied.Engines {
		for _, e := range w.engines {
			if e.id == copied.Engines[i].ID && e.start == copied.Engines[i].Start {
				copied.Engines[i].Uptime = w.now - e.startedAt
			}
		}
	}
	return copied
}
