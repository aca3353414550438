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

// Configurations of the past that a member's folder lacks, and how it fetches them.

const (
	// fetchWindowBytes is how many bytes of past configurations may be asked for at once, and
	// maxFetches how many of them; two at the least, so that the link does not rest while the
	// disk writes.
	fetchWindowBytes = 256 << 10
	maxFetches       = 16
	minFetches       = 2
	// maxFetchBackoff bounds the pause before one that nobody has sent is asked for again.
	maxFetchBackoff = 30 * kernel.Second
	// storeRetryInterval is how long the folder is left alone after it failed to keep one.
	storeRetryInterval = kernel.Second
	// maxStoreBytes and maxStoreConfigs bound what the folder is given in one write. A write costs its
	// syncs, so on a slow disk few large ones are done sooner than many small ones; and the core's
	// own writes wait behind it.
	maxStoreBytes   = 256 << 10
	maxStoreConfigs = 16
)

// configFetch is a configuration that was asked for and is not in the folder yet.
type configFetch struct {
	retryAt  kernel.Micros // afterwards it is asked for again
	attempts int
	denied   map[string]bool // members that do not hold it
}

// history is a member's part in keeping the configurations of the chain.
type history struct {
	stored         map[uint64]bool         // in the own folder
	noRoom         map[uint64]bool         // there is no room for it in the folder
	unavailable    map[uint64]bool         // no member that could be asked holds it
	fetches        map[uint64]*configFetch // under way
	timer          kernel.Micros
	nextSource     int
	prunedRevision uint64 // the document that the records were last swept for
	// The folder has one write of them at a time, since the core's own writes wait behind it.
	queued  []*cluster.Document
	writing []*cluster.Document // those that are being written
}

func newHistory(storedConfigs []uint64) history {
	p := history{stored: map[uint64]bool{}, noRoom: map[uint64]bool{}, unavailable: map[uint64]bool{}, fetches: map[uint64]*configFetch{}}
	for _, revision := range storedConfigs {
		p.stored[revision] = true
	}
	return p
}

// recordStored notes that a configuration is in the folder.
func (p *history) recordStored(revision uint64) {
	p.stored[revision] = true
	delete(p.unavailable, revision)
	delete(p.fetches, revision)
}

// isWanted tells whether the folder lacks a configuration and has room for it.
func (p *history) isWanted(revision uint64) bool { return !p.stored[revision] && !p.noRoom[revision] }

// isMissing tells whether the folder lacks a configuration that another member may hold.
func (p *history) isMissing(revision uint64) bool {
	return p.isWanted(revision) && !p.unavailable[revision]
}

// prune forgets what the chain no longer names.
func (p *history) prune(document *cluster.Document) {
	if len(document.ConfigChain) == 0 || p.prunedRevision == document.Revision {
		return
	}
	p.prunedRevision = document.Revision
	first := document.ConfigChain[0].Revision
	for _, revisions := range []map[uint64]bool{p.stored, p.noRoom, p.unavailable} {
		for revision := range revisions {
			if revision < first {
				delete(revisions, revision)
			}
		}
	}
	for revision := range p.fetches {
		if revision < first {
			delete(p.fetches, revision)
		}
	}
}

// fetchHistory fetches the past configurations that the folder lacks: a member that was empty a while ago holds
// only what came since, and the others may be the next to lose their disks.
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
	// The newest first: the oldest leave the chain soonest.
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
func (p *history) countInFlight(now kernel.Micros) int {
	count := 0
	for _, fetch := range p.fetches {
		if now < fetch.retryAt {
			count++
		}
	}
	return count
}

// beginFetch records a further attempt to fetch a configuration. The pause until the next one doubles
// with each attempt, from backoff up to maxFetchBackoff.
func (p *history) beginFetch(revision uint64, now, backoff kernel.Micros) *configFetch {
	fetch := p.fetches[revision]
	if fetch == nil {
		fetch = &configFetch{denied: map[string]bool{}}
		p.fetches[revision] = fetch
	}
	fetch.retryAt = now + min(backoff<<min(fetch.attempts, 6), maxFetchBackoff)
	if p.unavailable[revision] {
		fetch.retryAt = now + maxFetchBackoff
	}
	fetch.attempts++
	return fetch
}

// nextSourceFor is the next member, round robin, that has not denied holding the configuration; if all
// have denied it, simply the next one.
func (p *history) nextSourceFor(fetch *configFetch, others []string) string {
	p.nextSource++
	for range others {
		if !fetch.denied[others[p.nextSource%len(others)]] {
			break
		}
		p.nextSource++
	}
	return others[p.nextSource%len(others)]
}

// historySources lists the members that may hold the past.
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

// isHistoryIncomplete tells whether this member's folder lacks configurations of the chain that it has room
// for and that another member may hold.
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

// onFetchConfig has a configuration read from the folder and sent, or answers that it is not there.
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
	c.storeNext()
}

// onFetchDenied records that a member does not hold a configuration, and has the next member asked at once.
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
	// Should a member that is away come back with it, a later ask finds it.
	c.history.unavailable[revision] = true
	fetch.retryAt = c.now + maxFetchBackoff
	clear(fetch.denied)
	c.history.timer = 0
}

// storeNext begins the next write of fetched configurations, as many as fit into one, unless one is under way.
func (c *Core) storeNext() {
	if len(c.history.writing) > 0 || len(c.history.queued) == 0 {
		return
	}
	count := c.history.nextWriteCount()
	c.history.writing = slices.Clone(c.history.queued[:count])
	c.history.queued = c.history.queued[count:]
	c.out = append(c.out, commands.SaveHistory{Documents: c.history.writing})
}

// nextWriteCount is how many of those that wait go into the next write; one at the least.
func (p *history) nextWriteCount() int {
	count, bytes := 1, p.queued[0].WireSize()
	for _, document := range p.queued[1:] {
		bytes += document.WireSize()
		if bytes > maxStoreBytes || count == maxStoreConfigs {
			break
		}
		count++
	}
	return count
}

// HistoryStored takes the outcome of a write of past configurations. One that the folder has no room for
// (NoSpaceError) is not fetched again; after any other error nothing is fetched for storeRetryInterval.
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
		c.skipUpTo(outcome.Rejected)
	default:
		c.history.queued, c.history.timer = nil, now+storeRetryInterval
		clear(c.history.fetches)
		return
	}
	c.storeNext()
	c.fetchHistory()
}

// skipUpTo gives up a configuration that the folder has no room for. What is older would have no
// room either, and is not even asked for.
func (c *Core) skipUpTo(revision uint64) {
	for _, ref := range c.committed.ConfigChain {
		if ref.Revision <= revision && !c.history.stored[ref.Revision] {
			c.history.noRoom[ref.Revision] = true
			delete(c.history.fetches, ref.Revision)
		}
	}
	c.history.queued = slices.DeleteFunc(c.history.queued, func(queued *cluster.Document) bool { return c.history.noRoom[queued.ConfigRevision] })
}
