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

// platformListError says what was wrong with the platform's list.
type platformListError struct{ reason string }

func (b platformListError) Error() string { return "platform list: " + b.reason }

// pollPlatform fetches the list where it is this node's duty.
func (r *Runner) pollPlatform() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	client := &http.Client{Timeout: 2 * time.Second}
	isFailing := false
	for {
		// One fetch a zone is enough; a node without a coordinator fetches it for itself.
		if state := r.State(); state.IsCoordinator || state.IsCoordinatorLost {
			listing, err := fetchListing(r.env, client, r.platform)
			switch {
			case err != nil && !isFailing:
				r.env.Log.Error(err, "the platform's list can't be read")
				r.env.Record("platform", "list", "unreadable", err.Error())
			case err == nil:
				r.post(func() []commands.Command { return r.node.TakeListing(r.env.Clock.Now(), listing) })
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
		return listing, fmt.Errorf("ask the platform: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return listing, fmt.Errorf("ask the platform: %w", err)
	}
	// It was only read: a close that fails loses nothing.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return listing, platformListError{response.Status}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 16<<20)).Decode(&listing); err != nil {
		return listing, fmt.Errorf("read the platform's list: %w", err)
	}
	// A list without a revision can't be told from an older one, so it is no use.
	if listing.Revision == 0 {
		return listing, platformListError{"it has no revision"}
	}
	return listing, nil
}
