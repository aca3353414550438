package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
)

// platformListError reports that the platform's engine list could not be used, and why.
type platformListError struct{ reason string }

func (b platformListError) Error() string { return "platform list: " + b.reason }

// pollPlatform fetches the platform's engine list every second while this node is responsible for that. It returns once
// the environment ends.
func (r *Runner) pollPlatform() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	client := &http.Client{Timeout: 2 * time.Second}
	isFailing := false
	for {
		// One fetch per zone is enough, so the zone's coordinator does it. A node that has lost its coordinator fetches
		// the list itself.
		if state := r.State(); state.IsCoordinator || state.IsCoordinatorLost {
			listing, err := fetchListing(r.env, client, r.platform)
			switch {
			case err != nil && !isFailing:
				r.env.Log.Error(err, "platform engine list could not be fetched; retrying every second")
				r.env.Record("platform", "list", "unreadable", err.Error())
			case err == nil:
				r.post(func() []commands.Command { return r.node.ReportListing(r.env.Clock.Now(), listing) })
			}
			isFailing = err != nil
		}
		select {
		case <-r.env.Done():
			return
		case <-ticker.C:
		}
	}
}

func fetchListing(ctx context.Context, client *http.Client, url string) (registry.Listing, error) {
	var listing registry.Listing
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return listing, fmt.Errorf("create the platform list request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return listing, fmt.Errorf("request the platform list: %w", err)
	}
	// The body was only read, so a failed close loses nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return listing, platformListError{response.Status}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 16<<20)).Decode(&listing); err != nil {
		return listing, fmt.Errorf("decode the platform list: %w", err)
	}
	// Without a revision a list cannot be ordered against earlier ones, so it is rejected.
	if listing.Revision == 0 {
		return listing, platformListError{"no revision"}
	}
	return listing, nil
}
