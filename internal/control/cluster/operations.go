package cluster

import (
	"fmt"
)

// Operation says what a submission wants.
type Operation string

// The orders an operator can give.
const (
	PutConfig        Operation = "spec"
	DrainZone        Operation = "empty"
	UndrainZone      Operation = "refill"
	DeregisterRouter Operation = "forget" // strike a router off the register: the operator vouches that it is dead
	AbortSubmission  Operation = "fence"  // make a submission id final
	MarkDraining     Operation = "mark"   // keep the mark of a leaving engine
	PatchConfig      Operation = "change" // Configuration holds a change of named items of the configuration in force
)

// Submit carries an operator's order to the leader.
type Submit struct {
	ID        string    `json:"id"`
	Operation Operation `json:"order"`
	Config    []byte    `json:"spec,omitempty"`
	Zone      string    `json:"zone,omitempty"`
	Base      *uint64   `json:"base,omitempty"`
	// BaseVersion is the operator's version that a configuration or a change builds on.
	BaseVersion *uint64 `json:"base_version,omitempty"`
	// Of a mark.
	Engine string `json:"engine,omitempty"`
	Start  uint64 `json:"start,omitempty"`
}

// Digest tells two operations under one id apart. The id itself and the base revision are not part of it.
func (s *Submit) Digest() string {
	parts := [][]byte{[]byte(s.Operation), s.Config, []byte(s.Zone), []byte(s.Engine), fmt.Append(nil, s.Start)}
	// Only where it is set: orders without it keep the digests that documents remember.
	if s.BaseVersion != nil {
		parts = append(parts, fmt.Append(nil, "on version ", *s.BaseVersion))
	}
	return DigestOf(parts...)
}

// Reasons in a SubmitResponse.
const (
	ReasonConflict         = "clash"          // another configuration is in force than the order builds on
	ReasonInvalid          = "invalid_spec"   // the configuration, or what a change makes of it, has faults
	ReasonOldVersion       = "old_version"    // its version is not above the one in force
	ReasonUnknownOperation = "unknown_order"  // this build has no such order
	ReasonIDReused         = "id_reused"      // another order had this id
	ReasonAborted          = "fenced"         // the order was given up on
	ReasonBusy             = "busy"           // the leader holds too many orders
	ReasonLeaderChanged    = "leader_changed" // the leader stepped down
	ReasonNoQuorum         = "no_majority"    // no answer was had in time
	ReasonNotPersisted     = "not_kept"       // a leaving mark went round but could not be kept
	ReasonExpired          = "forgotten"      // it may be older than the submissions that are remembered
)

// SubmitResponse is the leader's word on a submission.
type SubmitResponse struct {
	ID       string  `json:"id"`
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"generation,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Detail   string  `json:"detail,omitempty"`
}
