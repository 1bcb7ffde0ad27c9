package member

// Methods between daemons.
const (
	MethodPing    = "member.ping"     // call: Ping -> Ping
	MethodPingFor = "member.ping_for" // call: PingFor -> PingForReply
	MethodTable   = "member.table"    // call: Ping -> TableReply
	MethodNews    = "member.news"     // notice: Daemon
	MethodSuspect = "member.suspect"  // notice: Daemon
)

// Ping is a probe and its answer.
type Ping struct {
	From Daemon `json:"from"`
	Hash uint64 `json:"hash"` // of the sender's table
}

// PingFor asks a helper to probe another daemon.
type PingFor struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// PingForReply reports whether the probed daemon answered.
type PingForReply struct {
	Answered bool `json:"answered"`
}

// TableReply holds all known descriptions.
type TableReply struct {
	Daemons []Daemon `json:"daemons"`
}
