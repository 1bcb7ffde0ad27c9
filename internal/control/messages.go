package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Methods between daemons.
const (
	MethodStep      = "control.step"       // notice: StepNotice
	MethodPropose   = "control.propose"    // call: ProposeRequest -> state.Outcome
	MethodReadIndex = "control.read_index" // call: ReadIndexRequest -> ReadIndexReply
	MethodSync      = "control.sync"       // call: SyncRequest -> SyncReply
	MethodQuery     = "control.query"      // call: QueryRequest -> QueryReply
	MethodMembers   = "control.members"    // call: MembersRequest -> MembersReply
	MethodReadBatch = "control.read_batch" // call: BatchReadRequest -> BatchReadReply
	MethodRetire    = "control.retire"     // call: RetireRequest -> RetireReply
	MethodSnapshot  = "control.snapshot"   // call: SnapshotPart -> SnapshotTaken
)

// StepNotice carries a message of the agreement core. A replica of another
// cluster drops it. Address is the sender's, for a receiver that does not know
// the membership yet.
type StepNotice struct {
	Cluster string            `json:"c"`
	Address string            `json:"a"`
	Message consensus.Message `json:"m"`
}

// ProposeRequest asks for a command to be committed.
type ProposeRequest struct {
	Cluster string        `json:"cluster,omitempty"` // set by a replica that passes it on
	Command state.Command `json:"command"`
	Relayed bool          `json:"relayed,omitempty"` // a replica passed it on: go no further
}

// ReadIndexRequest asks the leader for its commit index under a valid lease.
type ReadIndexRequest struct {
	Cluster string `json:"cluster"`
}

// ReadIndexReply holds every command committed before the request.
type ReadIndexReply struct {
	Index uint64 `json:"index"`
}

// SyncRequest asks for the changes after a configuration version. The replica
// holds the answer for a short time while there is none.
type SyncRequest struct {
	After          uint64 `json:"after"`
	MembershipHash uint64 `json:"group,omitempty"` // hash of the membership that the asker knows
	// Unproven is set while the asker has no configuration that was proven to be
	// the newest: any newer one is of use to it.
	Unproven bool `json:"unproven,omitempty"`
}

// SyncReply brings a configuration up to date with everything committed before
// a moment that lies Held after the request's arrival and Age back from there.
type SyncReply struct {
	Cluster string               `json:"cluster"`
	Changes []Change             `json:"changes,omitempty"`
	Config  *state.Config        `json:"config,omitempty"`  // instead of Changes, when those are too old
	Members consensus.Membership `json:"members,omitempty"` // when it is not the one the asker knows
	Held    time.Duration        `json:"held,omitempty"`    // nanoseconds
	Age     time.Duration        `json:"age,omitempty"`     // nanoseconds
	// Unproven is set when the replica cannot tell how old its copy is. Only an
	// asker that has no proven one gets such an answer.
	Unproven bool `json:"unproven,omitempty"`
}

// Change is one accepted change of the configuration.
type Change struct {
	Version uint64        `json:"version"`
	Command state.Command `json:"command"`
}

// QueryRequest reads from the ledger, after everything committed before it.
type QueryRequest struct {
	History   string         `json:"history,omitempty"` // service name
	Step      string         `json:"step,omitempty"`
	Claim     *state.ClaimID `json:"claim,omitempty"`
	Orders    bool           `json:"orders,omitempty"`
	Windows   bool           `json:"windows,omitempty"`
	Routing   bool           `json:"routing,omitempty"`
	Intervals bool           `json:"intervals,omitempty"`
}

// QueryReply holds what was asked for.
type QueryReply struct {
	History []state.Edit    `json:"history,omitempty"`
	Step    *state.StepView `json:"step,omitempty"`
	Claim   *state.Claim    `json:"claim,omitempty"`
	Orders  []state.Order   `json:"orders,omitempty"`
	// LastOrder is the Seq of the newest order ever committed.
	LastOrder uint64               `json:"last_order,omitempty"`
	Windows   []state.Window       `json:"windows,omitempty"`
	Routing   *state.RoutingSource `json:"routing,omitempty"`
	Intervals []state.Interval     `json:"intervals,omitempty"`
}

// MembersRequest changes the membership by one replica; without Add and Remove
// it only reads it.
type MembersRequest struct {
	Add     *consensus.Member `json:"add,omitempty"` // as a learner, or as a voter once it has caught up
	Remove  consensus.ID      `json:"remove,omitempty"`
	Relayed bool              `json:"relayed,omitempty"`
	Cluster string            `json:"cluster,omitempty"` // set by a replica that passes it on
}

// MembersReply is the membership after the change, with the leader's view.
type MembersReply struct {
	Cluster string                  `json:"cluster"`
	Members consensus.Membership    `json:"members"`
	Leader  consensus.ID            `json:"leader,omitempty"`
	Term    uint64                  `json:"term"`
	Commit  uint64                  `json:"commit"`
	Match   map[consensus.ID]uint64 `json:"match,omitempty"`
}
