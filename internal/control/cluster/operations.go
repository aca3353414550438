package cluster

import (
	"fmt"
)

// Operation is the kind of a submission.
type Operation string

// The operations that an operator can submit.
const (
	PutConfig        Operation = "spec"
	DrainZone        Operation = "empty"
	UndrainZone      Operation = "refill"
	DeregisterRouter Operation = "forget" // remove a router from the register; the operator guarantees that it has stopped
	AbortSubmission  Operation = "fence"  // a submission with this id that has not taken effect never will
	MarkDraining     Operation = "mark"   // store the mark of a draining engine
	PatchConfig      Operation = "change" // Submit.Config has a change of named items of the configuration in force
)

// Submit carries an operator's submission to the leader.
type Submit struct {
	ID        string    `json:"id"`
	Operation Operation `json:"order"`
	Config    []byte    `json:"spec,omitempty"` // the configuration of a PutConfig, the change of a PatchConfig
	Zone      string    `json:"zone,omitempty"` // the zone to drain or undrain, or the address of the router to deregister
	// Base and BaseVersion are the revision and the version of the configuration on which a new configuration or a
	// change is based. It is rejected if another one is in force; nil: not checked.
	Base        *uint64 `json:"base,omitempty"`
	BaseVersion *uint64 `json:"base_version,omitempty"`
	// Engine and Start are set for MarkDraining only.
	Engine string `json:"engine,omitempty"`
	Start  uint64 `json:"start,omitempty"`
}

// Digest returns a digest by which two different submissions with the same id are told apart. The id and the
// base revision are not part of it.
func (s *Submit) Digest() string {
	parts := [][]byte{[]byte(s.Operation), s.Config, []byte(s.Zone), []byte(s.Engine), fmt.Append(nil, s.Start)}
	// The version is added only if it is set, so that submissions without it keep the digests stored in
	// existing documents.
	if s.BaseVersion != nil {
		parts = append(parts, fmt.Append(nil, "on version ", *s.BaseVersion))
	}
	return DigestOf(parts...)
}

// Reasons in a SubmitResponse.
const (
	ReasonConflict         = "clash"          // the submission is based on a configuration that is not the one in force
	ReasonInvalid          = "invalid_spec"   // the configuration, or the result of the change, is invalid
	ReasonOldVersion       = "old_version"    // the configuration's version is not above the one in force
	ReasonUnknownOperation = "unknown_order"  // this build does not know the operation
	ReasonIDReused         = "id_reused"      // another submission used this id
	ReasonAborted          = "fenced"         // the submission was aborted
	ReasonBusy             = "busy"           // the leader has too many pending submissions
	ReasonLeaderChanged    = "leader_changed" // the leader stepped down
	ReasonNoQuorum         = "no_majority"    // no answer arrived in time
	ReasonNotPersisted     = "not_kept"       // a draining mark was distributed but could not be stored
	ReasonExpired          = "forgotten"      // the submission may be older than the records in the document
)

// SubmitResponse is the leader's response to a submission.
type SubmitResponse struct {
	ID       string  `json:"id"`
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"generation,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Detail   string  `json:"detail,omitempty"`
}
