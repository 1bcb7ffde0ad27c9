package readiness

import "time"

// Need is what a request lacks at this daemon.
type Need int

// Needs of requests.
const (
	Configuration      Need = iota + 1 // any configuration
	FreshConfiguration                 // one that is known to be the newest: the route or the key is not in the present one
	Upstream                           // an upstream of the service of the request's route
)

// String returns the name of the need in log lines.
func (n Need) String() string {
	return [...]string{"nothing", "configuration", "fresh configuration", "upstream"}[n]
}

const (
	// StartPeriod is how long after its start a daemon may hold requests. A restart of all
	// processes took 3 s from the start of an entry to its first upstream; slower disks and a
	// second election need more.
	StartPeriod = 10 * time.Second
	// MaxHeld bounds the requests that a daemon holds at once, and with them their goroutines.
	// Their bodies are bounded by the memory for bodies.
	MaxHeld = 1024
	// establishedBefore is how much earlier than this daemon another one must have started to
	// count as one that did not restart with it: clocks differ by up to 2 s, and machines that
	// lose power together do not start within the same second.
	establishedBefore = 5 * time.Second
	// answerMargin is the time that a refusal needs to reach the caller before its deadline.
	answerMargin = 60 * time.Millisecond
	// otherEntryRetryAfter is the retry delay if another entry can serve the caller now.
	otherEntryRetryAfter = 50 * time.Millisecond
	// minRetryAfter is the shortest delay after which this daemon may be ready.
	minRetryAfter = 50 * time.Millisecond

	// reachTime is the time from the start of a daemon until it reaches a replica when all
	// restart: a replica reads a data folder of 21 MB for 1.1 s on half a core.
	reachTime = 1200 * time.Millisecond
	// configurationTime is the time from then on until it has a configuration: the interval of
	// its sync requests, and the reply.
	configurationTime = 150 * time.Millisecond
	// proofTime is the time from then on until a leader can prove a configuration to be the
	// newest. A measured restart took 1.0 s.
	proofTime = time.Second
	// upstreamTime is the time from then on until an upstream is known: half the interval of
	// heartbeats, and their distribution.
	upstreamTime = 700 * time.Millisecond
	// overdueDivisor sets the expected time for what is overdue: a quarter of the time that it
	// has taken so far.
	overdueDivisor = 4
)

// Peer is another daemon that this process has heard of since its start.
type Peer struct {
	Started time.Time // on that daemon's clock
	Entry   bool      // it serves callers and is not draining
	Fresh   bool      // its configuration is the newest
}

// Seeds counts the addresses at which a daemon looks for the others.
type Seeds struct {
	Tried   int // those that have been tried since the start
	Refused int // those of them whose machine has refused a connection: no process listened there
}

// Deployment summarizes what a process has learned of the other daemons since its start.
type Deployment struct {
	ReachedAt        time.Time // when the first other daemon was heard of; zero if none was
	Entries          int
	Established      int // entries that started well before this process
	EstablishedFresh int // those of them whose configuration is the newest
	Seeds            Seeds
}

// Summarize returns the deployment as a process that started at the given time sees it.
func Summarize(started, reachedAt time.Time, peers []Peer, seeds Seeds) Deployment {
	d := Deployment{ReachedAt: reachedAt, Seeds: seeds}
	for _, p := range peers {
		if !p.Entry {
			continue
		}
		d.Entries++
		if p.Started.Before(started.Add(-establishedBefore)) {
			d.Established++
			if p.Fresh {
				d.EstablishedFresh++
			}
		}
	}
	return d
}

// Situation is what a decision about one request is based on.
type Situation struct {
	Now, Started time.Time
	Need         Need
	Met          bool // what the request lacked has become known since the start of this process
	Lost         bool // it was known before in this process: the start is not the reason
	AnyUpstream  bool // an upstream of any service is known
	Draining     bool
	Waiting      bool          // the request is held already
	Held         int           // requests held at present
	Deadline     time.Time     // of the caller
	Work         time.Duration // that an upstream probably needs for the request
	Deployment   Deployment
}

// Action is what to do with a request.
type Action int

// Actions.
const (
	Proceed Action = iota // serve it
	Hold                  // hold it until something changes or the time of the verdict
	Refuse                // reject it as not run
)

// Verdict is a decision about a request.
type Verdict struct {
	Action     Action
	Until      time.Time     // for Hold
	RetryAfter time.Duration // for Refuse; zero if this package has no better estimate than the caller
	Reason     string        // for Refuse
}

// Decide decides whether a request waits at this daemon for what it lacks.
func Decide(s Situation) Verdict {
	switch {
	case s.Met:
		return Verdict{Action: Proceed}
	case s.Draining:
		return Verdict{Action: Refuse, Reason: "the entry is draining"}
	case s.Lost, s.Now.Sub(s.Started) >= StartPeriod:
		return Verdict{Action: Refuse, Reason: "the entry has not just started"}
	case !s.Waiting && s.Held >= MaxHeld:
		return Verdict{Action: Refuse, Reason: "too many requests are held"}
	case s.Deployment.cutOff():
		return Verdict{Action: Refuse, Reason: "the entry reaches no other daemon"}
	case s.Deployment.serves(s.Need):
		return Verdict{Action: Refuse, RetryAfter: otherEntryRetryAfter, Reason: "other entries are ready"}
	}
	latest := s.Deadline.Add(-answerMargin)
	if end := s.Started.Add(StartPeriod); end.Before(latest) {
		latest = end
	}
	expected := s.expected()
	retryAfter := max(expected.Sub(s.Now), minRetryAfter)
	switch {
	case !s.Now.Before(latest):
		return Verdict{Action: Refuse, RetryAfter: retryAfter, Reason: "it did not become ready before the deadline"}
	case !s.Waiting && expected.Add(s.Work).After(latest):
		return Verdict{Action: Refuse, RetryAfter: retryAfter, Reason: "it will probably not be ready before the deadline"}
	}
	return Verdict{Action: Hold, Until: latest}
}

// cutOff reports whether the process is probably cut off from the others, which may all serve.
// A machine that refuses a connection is reachable and does not run the daemon; without a
// majority of the replicas no entry gets a configuration. Silence is what a lost link looks like.
func (d Deployment) cutOff() bool {
	return d.ReachedAt.IsZero() && 2*d.Seeds.Refused <= d.Seeds.Tried
}

// serves reports whether another entry can serve the caller sooner. Callers choose the next entry
// at random, so at least half of the others must have been up before this process started. Such an
// entry has a configuration and upstreams whether or not the control group has a leader.
func (d Deployment) serves(n Need) bool {
	ready := d.Established
	if n == FreshConfiguration {
		ready = d.EstablishedFresh
	}
	return ready > 0 && 2*ready >= d.Entries
}

// expected returns when the request can probably be sent to an upstream.
func (s Situation) expected() time.Time {
	reached, since := s.Deployment.ReachedAt, s.Deployment.ReachedAt
	if reached.IsZero() {
		since = s.Started
		reached = s.notOverdue(s.Started.Add(reachTime), since)
	}
	var at time.Time
	switch {
	case s.Need == FreshConfiguration:
		at = reached.Add(proofTime)
	case s.Need == Upstream, !s.AnyUpstream:
		at = reached.Add(upstreamTime)
	default:
		at = reached.Add(configurationTime)
	}
	return s.notOverdue(at, since)
}

// notOverdue returns at, or a later time if that has passed or is about to.
func (s Situation) notOverdue(at, since time.Time) time.Time {
	if again := s.Now.Add(s.Now.Sub(since) / overdueDivisor); again.After(at) {
		return again
	}
	return at
}

const (
	// startPullInterval is the mean time between the pulls of a process that knows no upstream
	// of a service yet. 70 entries then make 470 calls a second, divided among the replicas. A
	// call took 0.7 ms of processor time for both sides with 60 upstreams.
	startPullInterval = 150 * time.Millisecond
	// completePullInterval is the mean time between the pulls while an upstream of each service is
	// known, for completePullPeriod from the start: several heartbeats, which go to other replicas.
	completePullInterval = 500 * time.Millisecond
	completePullPeriod   = 5 * time.Second
	// pullSlowdown makes the interval grow to a tenth of the time since the start: a service may
	// have no upstream at all.
	pullSlowdown = 10
)

// NextPull returns after what time a process pulls the list of upstreams again. complete means that an
// upstream of each service with a route is known. That is not the end: it may be one of many, or
// the configuration an old one with fewer services. It returns false when the periodic pulls suffice. draw
// is random in [0, 1): daemons that start at once must not pull at once.
func NextPull(uptime time.Duration, complete bool, draw float64) (time.Duration, bool) {
	interval := max(startPullInterval, uptime/pullSlowdown)
	if complete {
		interval = max(interval, completePullInterval)
	}
	if uptime >= StartPeriod || complete && uptime >= completePullPeriod {
		return 0, false
	}
	return time.Duration((0.5 + draw) * float64(interval)), true
}
