package cluster

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
)

// MemberID is made at random with a data folder, so that an emptied disk can
// never speak for the member that it once held.
type MemberID string

// Member is a controller that may vote.
type Member struct {
	ID      MemberID `json:"id"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
}

// Outcome is how a submission ended.
type Outcome string

// The outcomes that a reply can state.
const (
	Accepted Outcome = "yes"      // kept by a majority of voters, applied by a majority of routers
	Rejected Outcome = "no"       // final: it will never take effect
	Unknown  Outcome = "unproved" // neither could be shown; ask again by id
)

// Submission is what the document remembers of an operator's order.
type Submission struct {
	ID        string `json:"id"`
	Digest    string `json:"digest,omitempty"`
	Revision  uint64 `json:"generation"`
	IsAborted bool   `json:"fenced,omitempty"`
	// Version is the operator's version in force once it had taken effect.
	Version uint64 `json:"spec_version,omitempty"`
}

// Document is the whole agreed state at one revision.
type Document struct {
	ClusterID       string            `json:"founding"` // random, made once, when the fleet was founded
	Revision        uint64            `json:"generation"`
	Term            uint64            `json:"term"`
	Voters          []Member          `json:"voters"`
	Routers         []string          `json:"register"`
	PriorRouters    []string          `json:"prior_register"`
	RoutersRevision uint64            `json:"register_since"` // the revision that last changed the register
	Coordinators    map[string]string `json:"homes"`
	Config          []byte            `json:"spec"`
	ConfigRevision  uint64            `json:"spec_generation"`
	ConfigVersion   uint64            `json:"spec_version,omitempty"` // the operator's own number of it
	DrainedZones    map[string]uint64 `json:"evacuated"`              // zone to the revision that emptied it
	Submissions     []Submission      `json:"submissions"`
	// Every submission that was dropped from Submissions had taken effect by this revision and
	// this version; see MayHavePruned.
	PrunedRevision uint64 `json:"forgotten_generation,omitempty"`
	PrunedVersion  uint64 `json:"forgotten_spec_version,omitempty"`
	// ConfigChain names the newest configurations, oldest first. By it a copy of an older configuration
	// proves itself, wherever it was kept, and a member knows what it lacks.
	ConfigChain []ConfigRef `json:"chain,omitempty"`
	// Changes are the newest changes of the configuration, oldest first; see ConfigChange.
	Changes []ConfigChange `json:"spec_changes,omitempty"`
	// Draining holds the marks of leaving engines. One given by hand is said once, and
	// one that an engine reported may still be ahead of the platform's list, so both
	// must outlive the processes that heard them.
	Draining map[string]DrainingMark `json:"leaving,omitempty"`
}

// ConfigRef names one configuration of the past by its revision and what it held.
type ConfigRef struct {
	Revision uint64 `json:"generation"`
	Digest   string `json:"digest"`
}

// ConfigAt names the configuration that was in force at a revision, as far back as the
// chain goes.
func (d *Document) ConfigAt(revision uint64) (ConfigRef, bool) {
	for i := len(d.ConfigChain) - 1; i >= 0 && revision <= d.Revision; i-- {
		if d.ConfigChain[i].Revision <= revision {
			return d.ConfigChain[i], true
		}
	}
	return ConfigRef{}, false
}

// ConfigRefOf names a document's configuration.
func ConfigRefOf(d *Document) ConfigRef { return ConfigRef{d.ConfigRevision, DigestOf(d.Config)} }

// WithoutConfig leaves the configuration out, for a receiver that is taken to hold it. Whether it does
// shows by the digest in the chain: see WithConfig.
func (d *Document) WithoutConfig() *Document {
	return d.withChanges(nil)
}

// DeltaFor is the document as it goes to one that has applied a committed revision: from the
// configuration's own revision on it holds that configuration, and before it an earlier one.
func (d *Document) DeltaFor(applied uint64) *Document {
	if d == nil {
		return nil
	}
	if applied >= d.ConfigRevision {
		return d.WithoutConfig()
	}
	if changes, isKnown := d.changesSince(applied); isKnown {
		return d.withChanges(changes)
	}
	return d
}

// WithConfig puts back the configuration that a sender left out, from a document held here. A receiver
// goes by the digest alone, never by what the sender took it to hold; without the configuration
// there is no document, and it can be neither kept nor applied.
func (d *Document) WithConfig(patch ConfigPatcher, bases ...*Document) *Document {
	if d == nil || len(d.ConfigChain) == 0 || len(d.Config) > 0 {
		return d
	}
	for _, known := range bases {
		if known != nil && len(known.ConfigChain) > 0 && known.ConfigChain[len(known.ConfigChain)-1] == d.ConfigChain[len(d.ConfigChain)-1] {
			copied := *d
			copied.Config, copied.Changes = known.Config, known.Changes
			return &copied
		}
	}
	for _, known := range bases {
		if rebuilt, isRebuilt := d.withPatchedConfig(patch, known); isRebuilt {
			return rebuilt
		}
	}
	return nil
}

// PutConfig puts a configuration in force that came of the one before by a change; nil: it was put whole.
func (d *Document) PutConfig(config, change []byte) {
	d.Config, d.ConfigRevision = config, d.Revision
	d.addChange(change)
	d.ConfigChain = append(slices.Clone(d.ConfigChain), ConfigRefOf(d))
	if surplus := len(d.ConfigChain) - MaxStoredConfigs; surplus > 0 {
		d.ConfigChain = d.ConfigChain[surplus:]
	}
}

// DrainingMark says up to which start an engine is leaving.
type DrainingMark struct {
	Start    uint64 `json:"start"`
	Revision uint64 `json:"generation"`
}

// MaxDrainingMarks bounds the marks; the oldest give way.
const MaxDrainingMarks = 256

// MarkDraining marks an engine as draining up to a start, at this document's revision; a mark of the same or
// a later start stays. It changes Draining in place, so only the maker of a document, before handing it out,
// may call it.
func (d *Document) MarkDraining(engine string, start uint64) {
	if known, isKnown := d.Draining[engine]; isKnown && known.Start >= start {
		return
	}
	d.Draining[engine] = DrainingMark{start, d.Revision}
	for len(d.Draining) > MaxDrainingMarks {
		oldest := ""
		for _, name := range slices.Sorted(maps.Keys(d.Draining)) {
			if oldest == "" || d.Draining[name].Revision < d.Draining[oldest].Revision {
				oldest = name
			}
		}
		delete(d.Draining, oldest)
	}
}

// MaxSubmissions is how many submissions a document remembers, which bounds how far back a repeated one is
// recognised. It is exported for tests of submissions, which need the core beside the document.
const MaxSubmissions = 512

// Next copies a document for a change; the copy shares nothing that is changed in place.
func (d *Document) Next(term uint64) *Document {
	copied := *d
	copied.Term, copied.Revision = term, d.Revision+1
	copied.Voters = slices.Clone(d.Voters)
	copied.Routers = slices.Clone(d.Routers)
	copied.PriorRouters = slices.Clone(d.PriorRouters)
	copied.Submissions = slices.Clone(d.Submissions)
	copied.Coordinators, copied.DrainedZones, copied.Draining = cloneMap(d.Coordinators), cloneMap(d.DrainedZones), cloneMap(d.Draining)
	return &copied
}

func cloneMap[V any](from map[string]V) map[string]V {
	to := make(map[string]V, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}

// Position orders documents: the term first, then the revision.
type Position struct{ Term, Revision uint64 }

// Position is the document's place in the order of documents; that of no document is before all others.
func (d *Document) Position() Position {
	if d == nil {
		return Position{}
	}
	return Position{d.Term, d.Revision}
}

// Before tells whether this position comes before another one.
func (s Position) Before(other Position) bool {
	return s.Term < other.Term || s.Term == other.Term && s.Revision < other.Revision
}

// Compare orders positions for a sort: negative, zero or positive.
func (s Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(s.Term, other.Term), cmp.Compare(s.Revision, other.Revision))
}

// Voter gives the voter with an identity; false: no voter has it, or there is no document.
func (d *Document) Voter(id MemberID) (Member, bool) {
	if d == nil {
		return Member{}, false
	}
	for _, member := range d.Voters {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// HasVoterAt tells whether a member votes under its identity, or another one at its address.
func (d *Document) HasVoterAt(id MemberID, address string) bool {
	return slices.ContainsFunc(d.Voters, func(voter Member) bool { return voter.ID == id || voter.Address == address })
}

// VoterAddresses says where the voters are; of no document, nowhere.
func (d *Document) VoterAddresses() []string {
	if d == nil {
		return nil
	}
	addresses := make([]string, 0, len(d.Voters))
	for _, member := range d.Voters {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// Submission gives what is remembered of the newest submission under an id; false: nothing is.
func (d *Document) Submission(id string) (Submission, bool) {
	for i := len(d.Submissions) - 1; i >= 0; i-- {
		if d.Submissions[i].ID == id {
			return d.Submissions[i], true
		}
	}
	return Submission{}, false
}

// AddSubmission remembers a submission with the version in force. Beyond MaxSubmissions the oldest are
// dropped, and PrunedRevision and PrunedVersion say up to where. Only the maker of a document, before
// handing it out, may call it.
func (d *Document) AddSubmission(entry Submission) {
	entry.Version = d.ConfigVersion
	d.Submissions = append(d.Submissions, entry)
	surplus := len(d.Submissions) - MaxSubmissions
	if surplus <= 0 {
		return
	}
	newest := d.Submissions[surplus-1]
	d.PrunedRevision = max(d.PrunedRevision, newest.Revision)
	d.PrunedVersion = max(d.PrunedVersion, newest.Version)
	if newest.Version == 0 {
		// An earlier build kept it without its version.
		d.PrunedVersion = max(d.PrunedVersion, d.ConfigVersion)
	}
	d.Submissions = slices.Clone(d.Submissions[surplus:])
}

// MayHavePruned tells of an order that is not among the remembered submissions whether it may
// have been taken all the same. An order that names its base is taken only while that base is in
// force, so a base that is still in force, or was when a remembered order was taken, rules it out.
func (d *Document) MayHavePruned(m *Submit) bool {
	if m.BaseVersion != nil {
		return *m.BaseVersion < min(d.PrunedVersion, d.ConfigVersion)
	}
	return m.Base != nil && *m.Base < min(d.PrunedRevision, d.ConfigRevision)
}

// Majority of a list of routers satisfied by a test. An empty register has no
// router that could serve an old revision, so it is satisfied.
func Majority(addresses []string, isMet func(string) bool) bool {
	count := 0
	for _, address := range addresses {
		if isMet(address) {
			count++
		}
	}
	return len(addresses) == 0 || count > len(addresses)/2
}

// Sorted sorts addresses in place and gives them back.
func Sorted(addresses []string) []string {
	sort.Strings(addresses)
	return addresses
}

// DigestOf is the digest of byte strings in their order: the first 128 bits of SHA-256 over each of them
// followed by a zero byte, in hexadecimal.
func DigestOf(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(part)
		hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// IsQuorum tells whether enough voters meet a test to elect a leader that holds the document, or
// to commit it.
func (d *Document) IsQuorum(isMet func(MemberID) bool) bool {
	count := 0
	for _, voter := range d.Voters {
		if isMet(voter.ID) {
			count++
		}
	}
	return count > len(d.Voters)/2
}

// MaxStoredConfigs bounds the configurations of the past that a document names and a folder keeps.
const MaxStoredConfigs = 64
