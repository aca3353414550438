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

// printJournals queries the journal of every node of the fleet and prints them node by node.
func (s *session) printJournals(path string) (int, error) {
	pages, _, err := s.journalPages(path)
	if err != nil {
		return exitFailure, err
	}
	if s.arguments.JSON {
		if err := json.NewEncoder(s.out).Encode(pages); err != nil {
			return exitFailure, fmt.Errorf("write the journals as JSON: %w", err)
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
		fmt.Fprintln(os.Stderr, "dunlinctl: no journal has a matching entry; journals are limited in size, and without a data folder they are lost when the process ends")
		return exitMissing, nil
	}
	return exitAccepted, nil
}
