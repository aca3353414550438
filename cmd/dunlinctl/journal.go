package main

import (
	"encoding/json"
	"fmt"
	"os"

	"dunlinloom/internal/kernel"
)

type journalPage struct {
	Node    kernel.Identity `json:"node"`
	Entries []kernel.Entry  `json:"entries"`
}

// printJournals asks every node of the fleet and prints their journals, a node after another.
func (s *session) printJournals(path string) (int, error) {
	pages, _, err := s.journalPages(path)
	if err != nil {
		return exitFailure, err
	}
	if s.arguments.JSON {
		if err := json.NewEncoder(s.out).Encode(pages); err != nil {
			return exitFailure, fmt.Errorf("print: %w", err)
		}
	} else {
		for _, page := range pages {
			fmt.Fprintf(s.out, "%s in %s\n", page.Node.Address, page.Node.Zone)
			for _, entry := range page.Entries {
				fmt.Fprintf(s.out, "  %14.6f s  %-28s %-24s %s\n", float64(entry.At)/1e6, entry.Subject, entry.Decision, entry.Reason)
			}
		}
	}
	if len(pages) == 0 {
		fmt.Fprintln(os.Stderr, "dunlinctl: no journal speaks of it; journals are bounded, and without a data folder they end with their process")
		return exitMissing, nil
	}
	return exitAccepted, nil
}
