package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Peer methods of the control log, with the types of their parameters and results.
const (
	MethodStep        = "control.step"         // notice: StepNotice
	MethodPropose     = "control.propose"      // call: ProposeRequest -> state.Outcome
	MethodReadIndex   = "control.read_index"   // call: ReadIndexRequest -> ReadIndexReply
	MethodSync        = "control.sync"         // call: SyncRequest -> SyncReply
	MethodQuery       = "control.query"        // call: QueryRequest -> QueryReply
	MethodMembers     = "control.members"      // call: MembersRequest -> MembersReply
	MethodReadBatch   = "control.read_batch"   // call: BatchReadRequest -> BatchReadReply
	MethodRetire      = "control.retire"       // call: RetireRequest -> RetireReply
	MethodSnapshot    = "control.snapshot"     // notice: SnapshotPart
	MethodSnapshotAck = "control.snapshot_ack" // notice: SnapshotAck
	MethodFounding    = "control.founding"     // call: FoundingRequest -> FoundingReply
)

// ProposeRequest asks a replica to commit a command.
type ProposeRequest struct {
	Cluster string        `json:"cluster,omitempty"` // set by a replica that relays the request
	Command state.Command `json:"command"`
	Relayed bool          `json:"relayed,omitempty"` // a replica relayed the request; do not relay it again
}

// ReadIndexRequest asks the leader for its commit index under a valid lease.
type ReadIndexRequest struct {
	Cluster string `json:"cluster"`
}

// ReadIndexReply holds the read index: a replica that has applied it has applied every
// command committed before the request.
type ReadIndexReply struct {
	Index uint64 `json:"index"`
}

// SyncRequest asks for the configuration changes after a version. While there is none,
// the replica holds the request for up to syncWait, unless Unproven or NoHold is set.
type SyncRequest struct {
	After          uint64 `json:"after"`
	MembershipHash uint64 `json:"group,omitempty"` // of the membership that the requester knows
	// Unproven is set while the requester has no configuration that was proven to be the
	// newest. It then accepts any newer configuration.
	Unproven bool `json:"unproven,omitempty"`
	// NoHold asks for a reply at once. Replicas of older builds ignore it.
	NoHold bool `json:"no_hold,omitempty"`
}

// SyncReply brings a configuration up to date with everything that was committed before
// a point in time: the arrival of the request plus Held minus Age.
type SyncReply struct {
	Cluster string               `json:"cluster"`
	Changes []Change             `json:"changes,omitempty"`
	Config  *state.Config        `json:"config,omitempty"`  // set instead of Changes when these are no longer retained
	Members consensus.Membership `json:"members,omitempty"` // set when the requester knows another one
	Held    time.Duration        `json:"held,omitempty"`    // nanoseconds
	Age     time.Duration        `json:"age,omitempty"`     // nanoseconds
	// Unproven is set when the replica cannot tell how old its configuration is. Only a
	// requester that has no proven configuration gets such a reply.
	Unproven bool `json:"unproven,omitempty"`

	// configJSON returns the JSON form of Config, which is made once for all followers. It is
	// nil in a reply that was decoded.
	configJSON func() ([]byte, error)
}

// QueryRequest selects what to read from the ledger. The reply reflects everything that
// was committed before the request.
type QueryRequest struct {
	History   string         `json:"history,omitempty"` // service name
	Step      string         `json:"step,omitempty"`
	Claim     *state.ClaimID `json:"claim,omitempty"`
	Orders    bool           `json:"orders,omitempty"`
	Windows   bool           `json:"windows,omitempty"`
	Routing   bool           `json:"routing,omitempty"`
	Intervals bool           `json:"intervals,omitempty"`
}

// QueryReply holds the selected parts of the state.
type QueryReply struct {
	History []state.Edit    `json:"history,omitempty"`
	Step    *state.StepView `json:"step,omitempty"`
	Claim   *state.Claim    `json:"claim,omitempty"`
	Orders  []state.Order   `json:"orders,omitempty"`
	// Time is the time of the control group, with which the times of Orders compare.
	Time time.Time `json:"time,omitzero"`
	// LastOrder is the Seq of the newest order ever committed.
	LastOrder uint64               `json:"last_order,omitempty"`
	Windows   []state.Window       `json:"windows,omitempty"`
	Routing   *state.RoutingSource `json:"routing,omitempty"`
	Intervals []state.Interval     `json:"intervals,omitempty"`
}

// MembersRequest adds or removes one replica. Without Add and Remove it only
// reads the membership.
type MembersRequest struct {
	Add     *consensus.Member `json:"add,omitempty"` // as a learner, or as a voter once it has caught up
	Remove  consensus.ID      `json:"remove,omitempty"`
	Relayed bool              `json:"relayed,omitempty"`
	Cluster string            `json:"cluster,omitempty"` // set by a replica that relays the request
}

// MembersReply holds the membership after the change and the leader's status.
type MembersReply struct {
	Cluster string                  `json:"cluster"`
	Members consensus.Membership    `json:"members"`
	Leader  consensus.ID            `json:"leader,omitempty"`
	Term    uint64                  `json:"term"`
	Commit  uint64                  `json:"commit"`
	Match   map[consensus.ID]uint64 `json:"match,omitempty"`
}
