package node

import "time"

// Config is what a node must be told.
type Config struct {
	ID          string // name of the VM's daemon, unique in the deployment
	Zone        string
	Region      string
	PeerAddress string   // IP:port for the other daemons
	Founders    []string // peer addresses of daemons to find the others by

	CallerAddress string // given to clients; empty: this node takes no clients
	DataFolder    string // empty: the node is no replica
	FirstStart    bool   // the deployment starts for the first time
	Tolerance     int    // replicas that may be lost at once

	UsageInterval  time.Duration // length of a usage interval; 0: no usage is reported
	TakeoverDelay  time.Duration // a new leader gives no orders for so long
	BatchRetention time.Duration // batch jobs are kept so long after their submission
}

// Timing of a node.
const (
	// freshness is how long after its last confirmation a configuration is
	// taken for the newest in the list of entries.
	freshness = 3 * time.Second
	// announceTTL is how long a silent upstream is taken for live: heartbeats
	// come about every second and one may be lost.
	announceTTL = 4 * time.Second

	expireInterval = 250 * time.Millisecond
	tallyInterval  = 500 * time.Millisecond
	pullInterval   = time.Second
	catchUpPause   = 100 * time.Millisecond
	callTimeout    = time.Second
	// confirmTimeout bounds the wait until the other daemons know that an upstream
	// is leaving or that a request kills upstreams; a frozen one does not answer.
	confirmTimeout = 600 * time.Millisecond
)
