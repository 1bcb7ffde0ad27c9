package node

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/member"
)

// Config configures a node.
type Config struct {
	ID          string // name of the VM's daemon; unique in the deployment
	Zone        string // availability zone
	Region      string
	Zones       map[string]string // region of each availability zone
	PeerAddress string            // IP:port on which the other daemons reach this node
	PeerListen  string            // IP:port on which the node listens for them; empty: PeerAddress
	Founders    []string          // peer addresses of the initial voters, through which a node finds the others

	CallerAddress string          // address given to clients; empty if the node serves no clients
	Capacity      member.Capacity // what the process may use
	DataFolder    string          // empty if the node isn't a replica
	FirstStart    bool            // whether the deployment starts for the first time
	Tolerance     int             // number of replicas that may fail at the same time

	UsageInterval  time.Duration // length of a usage interval; 0 disables usage reports
	TakeoverDelay  time.Duration // time during which a new leader sends no orders
	BatchRetention time.Duration // least time from the submission of a batch job for which it is retained
}

// listenAddress returns the address on which the node listens for the other daemons.
func (c Config) listenAddress() string {
	if c.PeerListen != "" {
		return c.PeerListen
	}
	return c.PeerAddress
}

// Leases, intervals and timeouts of a node.
const (
	// freshnessLease is how long after its last confirmation a configuration counts as
	// the newest one. After that the node is not fresh, and is listed as an entry only if
	// no other node is fresh.
	freshnessLease = 3 * time.Second
	// announcementTTL is how long an upstream that sends no heartbeats counts as live.
	// Heartbeats come about every second and one may be lost.
	announcementTTL = 4 * time.Second

	// processStatusInterval is the time between two log lines on the size of the process.
	processStatusInterval = 5 * time.Second
	// weightingInterval is the time between two observations of the weights and the load.
	weightingInterval = time.Second
	// weightingLogInterval is the shortest time between two log lines on weighting.
	weightingLogInterval  = time.Minute
	expireInterval        = 250 * time.Millisecond
	countsInterval        = 500 * time.Millisecond
	directoryPullInterval = time.Second
	// largePullDivisor is by how much the pulls are fewer in a large deployment.
	largePullDivisor    = 4
	firstPullRetryDelay = 100 * time.Millisecond
	// firstPulls is the number of replicas from which a starting node pulls the upstreams.
	// A single one may have been cut off when an upstream left.
	firstPulls  = 6
	pullTimeout = time.Second
	// refreshedFrom is the number of replicas whose announcements are merged before a conclusion
	// is drawn from the list of upstreams, and refreshTimeout bounds it. A caller waits for it.
	refreshedFrom  = 5
	refreshTimeout = 250 * time.Millisecond
	// createRetryDelay is the pause between attempts to create the data folder on a disk
	// without space.
	createRetryDelay = 500 * time.Millisecond
	// confirmTimeout bounds the wait until the other daemons have recorded that an upstream
	// is leaving or that a request crashes upstreams. A frozen daemon doesn't answer.
	confirmTimeout = 600 * time.Millisecond
	// endedRetentionShare is the part of BatchRetention, as a divisor, for which a batch job is retained after its
	// end. Callers may repeat the end, and read what they have not read yet.
	endedRetentionShare = 2
	// endedRetentionLevel is the level of the control log that EndedRetention needs, see member.Level.
	endedRetentionLevel = 3
	// homesRetryAfter is the delay that a caller is told whose batch job cannot be kept or run in its
	// home regions. Upstreams and replicas join rarely.
	homesRetryAfter = 2 * time.Second
)
