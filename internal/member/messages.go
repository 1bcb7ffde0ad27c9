package member

// Methods of the calls and notices between daemons.
const (
	MethodPing         = "member.ping"         // call: Ping -> Ping
	MethodIndirectPing = "member.ping_for"     // call: IndirectPing -> IndirectPingReply
	MethodTable        = "member.table"        // call: Ping -> TableReply
	MethodAnnounce     = "member.news"         // notice: Daemon
	MethodSuspect      = "member.suspect"      // notice: Daemon
	MethodRelay        = relayPrefix           // notice: []RelayedNotice, to be passed on to the receiver's availability zone
	MethodRelayed      = relayPrefix + "ed"    // notice: []RelayedNotice
	MethodConfirmZone  = "member.confirm_zone" // call: ZoneCall -> ZoneReply
)

const relayPrefix = "member.relay"

// Ping is a probe, and also the reply to one.
type Ping struct {
	From Daemon `json:"from"`
	Hash uint64 `json:"hash"` // Table.Hash of the sender
	// Rejection is set in a reply to a daemon whose description is rejected.
	Rejection *Rejection `json:"rejection,omitempty"`
}

// Rejection tells a daemon why its description is rejected.
type Rejection struct {
	Known   Daemon `json:"known"`             // description of the daemon that is newer, or equal to an ejected one
	Ejected bool   `json:"ejected,omitempty"` // Known did not refute a suspicion in time
}

// IndirectPing asks a helper to probe the daemon ID at Address.
type IndirectPing struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// IndirectPingReply reports whether the probed daemon answered.
type IndirectPingReply struct {
	Answered bool `json:"answered"`
}

// TableReply holds the descriptions of all daemons that the sender considers up.
type TableReply struct {
	Daemons   []Daemon   `json:"daemons"`
	Suspected []string   `json:"suspected,omitempty"` // IDs of those that are suspected; not in older builds
	Rejection *Rejection `json:"rejection,omitempty"` // as in Ping
}
