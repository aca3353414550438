package cluster

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
)

// MemberID is generated at random when a data folder is created. A member whose disk was emptied therefore
// gets a new id and can't act for the member that it was before.
type MemberID string

// Member is a controller that is a voter or may become one.
type Member struct {
	ID      MemberID `json:"id"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
}

// Outcome is the result of a submission.
type Outcome string

// The outcomes that a reply can state.
const (
	Accepted Outcome = "yes"      // stored by a majority of voters and applied by a majority of routers
	Rejected Outcome = "no"       // final: it will never take effect
	Unknown  Outcome = "unproved" // neither is certain; the client has to query the submission by its id
)

// Submission is the document's record of an operator's submission. A repeated submission is recognised by it and
// answered with the same result.
type Submission struct {
	ID        string `json:"id"`
	Digest    string `json:"digest,omitempty"` // as returned by Submit.Digest; empty for an abort
	Revision  uint64 `json:"generation"`       // the revision at which the submission took effect or was aborted
	IsAborted bool   `json:"fenced,omitempty"`
	// Version is the operator's configuration version that was in force after the submission took effect.
	Version uint64 `json:"spec_version,omitempty"`
}

// Document is the complete replicated state at one revision.
type Document struct {
	ClusterID       string            `json:"founding"` // random, generated once, when the cluster is bootstrapped
	Revision        uint64            `json:"generation"`
	Term            uint64            `json:"term"`
	Voters          []Member          `json:"voters"`
	Routers         []string          `json:"register"`
	PriorRouters    []string          `json:"prior_register"` // the routers before the last change of Routers
	RoutersRevision uint64            `json:"register_since"` // the revision that last changed Routers
	Coordinators    map[string]string `json:"homes"`          // zone to the address of its coordinator
	Config          []byte            `json:"spec"`
	ConfigRevision  uint64            `json:"spec_generation"`        // the revision that last changed Config
	ConfigVersion   uint64            `json:"spec_version,omitempty"` // version number of Config, set by the operator
	DrainedZones    map[string]uint64 `json:"evacuated"`              // zone to the revision that drained it
	Submissions     []Submission      `json:"submissions"`
	// Every submission that was dropped from Submissions took effect no later than at this revision and
	// this version. See MayHavePruned.
	PrunedRevision uint64 `json:"forgotten_generation,omitempty"`
	PrunedVersion  uint64 `json:"forgotten_spec_version,omitempty"`
	// ConfigChain lists the newest configurations, oldest first. A copy of an older configuration from any
	// source is verified against it, and a member finds out from it which configurations it lacks.
	ConfigChain []ConfigRef `json:"chain,omitempty"`
	// Changes are the newest changes of the configuration, oldest first; see ConfigChange.
	Changes []ConfigChange `json:"spec_changes,omitempty"`
	// Draining holds the marks of draining engines. They have to survive restarts of the processes that
	// received them: an operator sets a mark only once, and an engine may report that it is draining before
	// the platform's list shows it.
	Draining map[string]DrainingMark `json:"leaving,omitempty"`
}

// ConfigRef identifies one configuration by its revision and the digest of its content.
type ConfigRef struct {
	Revision uint64 `json:"generation"`
	Digest   string `json:"digest"`
}

// ConfigAt returns the configuration that was in force at a revision, or false if the revision is newer than
// the document or older than the chain.
func (d *Document) ConfigAt(revision uint64) (ConfigRef, bool) {
	for i := len(d.ConfigChain) - 1; i >= 0 && revision <= d.Revision; i-- {
		if d.ConfigChain[i].Revision <= revision {
			return d.ConfigChain[i], true
		}
	}
	return ConfigRef{}, false
}

// ConfigRefOf returns the reference to a document's configuration. The digest is computed from the content.
func ConfigRefOf(d *Document) ConfigRef { return ConfigRef{d.ConfigRevision, DigestOf(d.Config)} }

// WithoutConfig returns a copy without the configuration, for a receiver that should already have it. The
// receiver verifies that by the digest in the chain; see WithConfig.
func (d *Document) WithoutConfig() *Document {
	return d.withChanges(nil)
}

// DeltaFor returns the document as it is sent to a receiver that has applied a committed revision. The
// configuration is left out if that revision already had it, is replaced by changes if all of them are known,
// and is otherwise sent in full.
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

// WithConfig restores a configuration that the sender left out, from one of the documents in bases: one with
// the same configuration, or one to which the received changes apply. The receiver relies on the digest
// alone, never on what the sender assumed. The result is nil if no base leads to the configuration; such a
// document can be neither stored nor applied.
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

// PutConfig sets the configuration at the document's revision. The change is the one that produced it from
// the previous configuration, or nil if the configuration was submitted in full.
func (d *Document) PutConfig(config, change []byte) {
	d.Config, d.ConfigRevision = config, d.Revision
	d.addChange(change)
	d.ConfigChain = append(slices.Clone(d.ConfigChain), ConfigRefOf(d))
	if surplus := len(d.ConfigChain) - MaxStoredConfigs; surplus > 0 {
		d.ConfigChain = d.ConfigChain[surplus:]
	}
}

// DrainingMark states that an engine is draining. It applies to the engine process with start identity Start
// and to earlier ones. Revision is that of the document that added the mark; it determines which marks are
// dropped first.
type DrainingMark struct {
	Start    uint64 `json:"start"`
	Revision uint64 `json:"generation"`
}

// MaxDrainingMarks limits the number of marks. Beyond it the oldest marks are dropped.
const MaxDrainingMarks = 256

// MarkDraining marks an engine as draining up to a start identity, at this document's revision. An existing
// mark for the same or a later start is left as it is. The method changes Draining in place, so only the code
// that creates a document may call it, before the document is published.
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

// MaxSubmissions is the number of submissions in a document. A repeated submission is recognised only as
// long as the first one is among them. The constant is exported for the submission tests, which need the core
// and are therefore in another package.
const MaxSubmissions = 512

// Next returns a copy with the next revision, to which changes can be made. Slices and maps that callers change
// in place are cloned, so that the original stays as it is.
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

// Position is the place of a document in the order of all documents: by term, then by revision.
type Position struct{ Term, Revision uint64 }

// Position returns the document's position. The position of a nil document is before all others.
func (d *Document) Position() Position {
	if d == nil {
		return Position{}
	}
	return Position{d.Term, d.Revision}
}

// Before reports whether this position precedes another one.
func (p Position) Before(other Position) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Revision < other.Revision
}

// Compare returns a negative number, zero or a positive number if the position is before, equal to or after
// the other one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Revision, other.Revision))
}

// Voter returns the voter with the given id, or false if there is none or the document is nil.
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

// HasVoterAt reports whether a voter has the given id or the given address.
func (d *Document) HasVoterAt(id MemberID, address string) bool {
	return slices.ContainsFunc(d.Voters, func(voter Member) bool { return voter.ID == id || voter.Address == address })
}

// VoterAddresses returns the addresses of the voters, or nil for a nil document.
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

// Submission returns the record of the newest submission with the given id, or false if there is none.
func (d *Document) Submission(id string) (Submission, bool) {
	for i := len(d.Submissions) - 1; i >= 0; i-- {
		if d.Submissions[i].ID == id {
			return d.Submissions[i], true
		}
	}
	return Submission{}, false
}

// AddSubmission records a submission together with the configuration version in force. Beyond MaxSubmissions
// the oldest records are dropped, and PrunedRevision and PrunedVersion are raised accordingly. Only the code
// that creates a document may call the method, before the document is published.
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
		// The record was written by an earlier build, which did not store the version.
		d.PrunedVersion = max(d.PrunedVersion, d.ConfigVersion)
	}
	d.Submissions = slices.Clone(d.Submissions[surplus:])
}

// MayHavePruned reports whether a submission that has no record in the document may have been accepted earlier
// and its record dropped since. A submission that names its base is accepted only while that base is in force.
// If the base is still in force, the submission was not accepted. If the base is not older than PrunedRevision
// or PrunedVersion, its record was not dropped. Nothing is known about a submission without a base; for it the
// result is false.
func (d *Document) MayHavePruned(m *Submit) bool {
	if m.BaseVersion != nil {
		return *m.BaseVersion < min(d.PrunedVersion, d.ConfigVersion)
	}
	return m.Base != nil && *m.Base < min(d.PrunedRevision, d.ConfigRevision)
}

// Majority reports whether a majority of the addresses satisfies a condition. It is true for an empty list:
// without registered routers, none can serve an old revision.
func Majority(addresses []string, isMet func(string) bool) bool {
	count := 0
	for _, address := range addresses {
		if isMet(address) {
			count++
		}
	}
	return len(addresses) == 0 || count > len(addresses)/2
}

// Sorted sorts addresses in place and returns them.
func Sorted(addresses []string) []string {
	sort.Strings(addresses)
	return addresses
}

// DigestOf returns the digest of byte strings in the given order: the first 128 bits, in hexadecimal, of
// SHA-256 over each string followed by a zero byte.
func DigestOf(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(part)
		hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// IsQuorum reports whether the voters that satisfy a condition are a majority, which is what an election and
// a commit need.
func (d *Document) IsQuorum(isMet func(MemberID) bool) bool {
	count := 0
	for _, voter := range d.Voters {
		if isMet(voter.ID) {
			count++
		}
	}
	return count > len(d.Voters)/2
}

// MaxStoredConfigs limits how many configurations a document's chain lists and a data folder keeps.
const MaxStoredConfigs = 64
