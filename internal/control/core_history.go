package control

import (
	"errors"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// A member fetches past configurations that its data folder lacks from the other members.

const (
	// fetchWindowBytes and maxFetches bound the past configurations that are requested at the same time, by
	// bytes and by number. At least minFetches are requested, so that the link is not idle while the disk
	// writes.
	fetchWindowBytes = 256 << 10
	maxFetches       = 16
	minFetches       = 2
	// maxFetchBackoff is the longest delay between two requests for the same configuration.
	maxFetchBackoff = 30 * kernel.Second
	// storeRetryInterval is the delay before the next fetch after the folder failed to store a configuration.
	storeRetryInterval = kernel.Second
	// maxStoreBytes and maxStoreConfigs bound one write of past configurations. Each write costs its syncs, so on
	// a slow disk a few large writes finish sooner than many small ones. They must not be too
	// large either, because the core's own writes wait behind them.
	maxStoreBytes   = 256 << 10
	maxStoreConfigs = 16
)

// configFetch is a configuration that was requested and is not in the folder yet.
type configFetch struct {
	retryAt  kernel.Micros // when it may be requested again
	attempts int
	denied   map[string]bool // addresses of members that answered that they do not hold it
}

// history is what a member knows of the configurations that the document's ConfigChain names, by their revisions.
type history struct {
	stored         map[uint64]bool         // in this member's folder
	noRoom         map[uint64]bool         // the folder has no room for them
	unavailable    map[uint64]bool         // no reachable member holds them
	fetches        map[uint64]*configFetch // requested and not in the folder yet
	timer          kernel.Micros
	nextSource     int
	prunedRevision uint64 // the revision of the document for which the maps were last pruned
	// queued holds the fetched configurations that wait to be written. There is only one write of them at a time,
	// because the core's own writes wait behind it.
	queued  []*cluster.Document
	writing []*cluster.Document // the ones that are being written
}

func newHistory(storedConfigs []uint64) history {
	h := history{stored: map[uint64]bool{}, noRoom: map[uint64]bool{}, unavailable: map[uint64]bool{}, fetches: map[uint64]*configFetch{}}
	for _, revision := range storedConfigs {
		h.stored[revision] = true
	}
	return h
}

// recordStored records that a configuration is in the folder.
func (h *history) recordStored(revision uint64) {
	h.stored[revision] = true
	delete(h.unavailable, revision)
	delete(h.fetches, revision)
}

// isWanted reports whether the folder lacks a configuration and has room for it.
func (h *history) isWanted(revision uint64) bool { return !h.stored[revision] && !h.noRoom[revision] }

// isMissing reports whether the folder lacks a configuration and has room for it, and another member may hold it.
func (h *history) isMissing(revision uint64) bool {
	return h.isWanted(revision) && !h.unavailable[revision]
}

// prune forgets configurations that are older than the document's chain.
func (h *history) prune(document *cluster.Document) {
	if len(document.ConfigChain) == 0 || h.prunedRevision == document.Revision {
		return
	}
	h.prunedRevision = document.Revision
	first := document.ConfigChain[0].Revision
	for _, revisions := range []map[uint64]bool{h.stored, h.noRoom, h.unavailable} {
		for revision := range revisions {
			if revision < first {
				delete(revisions, revision)
			}
		}
	}
	for revision := range h.fetches {
		if revision < first {
			delete(h.fetches, revision)
		}
	}
}

// fetchHistory requests past configurations that the folder lacks. A member that started with an empty folder has
// stored only the configurations since then. It fetches the older ones as well, because the members that hold them may
// lose their disks.
func (c *Core) fetchHistory() {
	if c.now < c.history.timer || !c.settings.HasFolder || c.committed == nil || c.DiskFault() != "" {
		return
	}
	c.history.timer = c.now + c.settings.Timing.HeartbeatInterval
	c.history.prune(c.committed)
	others := c.historySources()
	if len(others) == 0 {
		return
	}
	size := max(len(c.committed.Config), 1)
	limit := min(max(fetchWindowBytes/size, minFetches), maxFetches)
	inFlight := c.history.countInFlight(c.now)
	// The newest are fetched first, because the oldest leave the chain first.
	for _, ref := range slices.Backward(c.committed.ConfigChain) {
		if inFlight >= limit {
			return
		}
		fetch := c.history.fetches[ref.Revision]
		if !c.history.isWanted(ref.Revision) || fetch != nil && c.now < fetch.retryAt {
			continue
		}
		backoff := 3*c.settings.Timing.HeartbeatInterval + kernel.Micros(limit)*kernel.Micros(size)*kernel.Second/flowcontrol.MinTransferRate
		fetch = c.history.beginFetch(ref.Revision, c.now, backoff)
		inFlight++
		c.send(c.history.nextSourceFor(fetch, others), wire.Message{FetchConfig: &wire.FetchConfig{Config: ref}})
	}
}

// countInFlight counts the fetches whose retry is not due yet.
func (h *history) countInFlight(now kernel.Micros) int {
	count := 0
	for _, fetch := range h.fetches {
		if now < fetch.retryAt {
			count++
		}
	}
	return count
}

// beginFetch records an attempt to fetch a configuration. The delay until the next attempt starts at backoff and
// doubles with each attempt, up to maxFetchBackoff. It is maxFetchBackoff if all reachable members have denied holding
// the configuration.
func (h *history) beginFetch(revision uint64, now, backoff kernel.Micros) *configFetch {
	fetch := h.fetches[revision]
	if fetch == nil {
		fetch = &configFetch{denied: map[string]bool{}}
		h.fetches[revision] = fetch
	}
	fetch.retryAt = now + min(backoff<<min(fetch.attempts, 6), maxFetchBackoff)
	if h.unavailable[revision] {
		fetch.retryAt = now + maxFetchBackoff
	}
	fetch.attempts++
	return fetch
}

// nextSourceFor returns the address of the next member, in round-robin order, skipping those that have denied holding
// the configuration. If all members have denied it, none is skipped.
func (h *history) nextSourceFor(fetch *configFetch, others []string) string {
	h.nextSource++
	for range others {
		if !fetch.denied[others[h.nextSource%len(others)]] {
			break
		}
		h.nextSource++
	}
	return others[h.nextSource%len(others)]
}

// historySources lists the addresses of the members that may hold past configurations.
func (c *Core) historySources() []string {
	others := []string{}
	for _, member := range c.committed.Voters {
		if member.ID != c.settings.Self.ID {
			others = append(others, member.Address)
		}
	}
	for _, id := range c.peerIDs() {
		others = append(others, c.peers[id].member.Address)
	}
	return slices.Compact(cluster.Sorted(others))
}

// isHistoryIncomplete reports whether a configuration of the document's chain is missing from this member's folder; see
// isMissing. It is true until the member knows a committed document.
func (c *Core) isHistoryIncomplete() bool {
	if c.committed == nil {
		return true
	}
	for _, ref := range c.committed.ConfigChain {
		if c.history.isMissing(ref.Revision) {
			return true
		}
	}
	return false
}

// onFetchConfig sends a past configuration from the folder, or answers that the folder does not hold it.
func (c *Core) onFetchConfig(from string, m *wire.FetchConfig) {
	if !c.history.stored[m.Config.Revision] {
		c.send(from, wire.Message{FetchConfigResponse: &wire.FetchConfigResponse{Config: m.Config}})
		return
	}
	c.out = append(c.out, commands.LoadConfig{To: from, Config: m.Config})
}

func (c *Core) onFetchConfigResponse(from string, m *wire.FetchConfigResponse) {
	document := m.Document
	if document == nil {
		c.onFetchDenied(from, m.Config.Revision)
		return
	}
	if c.committed == nil || !c.history.isWanted(document.ConfigRevision) {
		return
	}
	ref, isKnown := c.committed.ConfigAt(document.ConfigRevision)
	if !isKnown || ref.Revision != document.ConfigRevision || ref.Digest != cluster.DigestOf(document.Config) {
		return
	}
	isSame := func(other *cluster.Document) bool { return other.ConfigRevision == document.ConfigRevision }
	if slices.ContainsFunc(c.history.writing, isSame) || slices.ContainsFunc(c.history.queued, isSame) {
		return
	}
	if fetch := c.history.fetches[document.ConfigRevision]; fetch != nil {
		fetch.retryAt = c.now + maxFetchBackoff
	}
	c.history.queued = append(c.history.queued, document)
	c.startNextWrite()
}

// onFetchDenied records that a member does not hold a configuration. The next member is asked at once. If all have
// denied it, the configuration is unavailable for now.
func (c *Core) onFetchDenied(from string, revision uint64) {
	fetch := c.history.fetches[revision]
	if fetch == nil {
		return
	}
	fetch.denied[from] = true
	for _, other := range c.historySources() {
		if !fetch.denied[other] && other != c.settings.Self.Address {
			fetch.retryAt = c.now
			c.history.timer = 0
			return
		}
	}
	// It is requested again after maxFetchBackoff, because a member that is down now may come back with it.
	c.history.unavailable[revision] = true
	fetch.retryAt = c.now + maxFetchBackoff
	clear(fetch.denied)
	c.history.timer = 0
}

// startNextWrite starts the next write of fetched configurations unless one is in progress.
func (c *Core) startNextWrite() {
	if len(c.history.writing) > 0 || len(c.history.queued) == 0 {
		return
	}
	count := c.history.nextWriteCount()
	c.history.writing = slices.Clone(c.history.queued[:count])
	c.history.queued = c.history.queued[count:]
	c.out = append(c.out, commands.SaveHistory{Documents: c.history.writing})
}

// nextWriteCount returns how many of the queued configurations, at least one, go into the next write.
func (h *history) nextWriteCount() int {
	count, bytes := 1, h.queued[0].WireSize()
	for _, document := range h.queued[1:] {
		bytes += document.WireSize()
		if bytes > maxStoreBytes || count == maxStoreConfigs {
			break
		}
		count++
	}
	return count
}

// HistoryStored handles the result of a write of past configurations. A configuration that the folder has no room for
// (NoSpaceError) is not fetched again. After any other error, nothing is fetched for storeRetryInterval.
func (c *Core) HistoryStored(now kernel.Micros, outcome commands.SaveHistoryResult) {
	c.now = now
	c.history.writing = nil
	for _, revision := range outcome.Saved {
		c.history.recordStored(revision)
	}
	switch {
	case outcome.Err == nil:
		c.history.timer = 0
	case errors.As(outcome.Err, new(commands.NoSpaceError)):
		c.recordNoRoom(outcome.Rejected)
	default:
		c.history.queued, c.history.timer = nil, now+storeRetryInterval
		clear(c.history.fetches)
		return
	}
	c.startNextWrite()
	c.fetchHistory()
}

// recordNoRoom records that the folder has no room for a configuration. Older ones would not be kept either, so
// they are no longer fetched.
func (c *Core) recordNoRoom(revision uint64) {
	for _, ref := range c.committed.ConfigChain {
		if ref.Revision <= revision && !c.history.stored[ref.Revision] {
			c.history.noRoom[ref.Revision] = true
			delete(c.history.fetches, ref.Revision)
		}
	}
	c.history.queued = slices.DeleteFunc(c.history.queued, func(queued *cluster.Document) bool { return c.history.noRoom[queued.ConfigRevision] })
}
