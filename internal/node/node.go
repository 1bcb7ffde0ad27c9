package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/batch"
	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/duty"
	"github.com/apricotstream/apricotstream/internal/evacuation"
	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/proxy"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/readiness"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/storage"
	"github.com/apricotstream/apricotstream/internal/takeup"
	"github.com/apricotstream/apricotstream/internal/telemetry"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/weights"
	"github.com/apricotstream/apricotstream/internal/workload"
)

// Dependencies are the clients through which a node reaches upstreams, engines and the
// provider.
type Dependencies struct {
	Links     *reach.Links      // opens connections to upstreams
	Peers     *peer.Guard       // bounds the connections of other daemons; nil: no bounds
	Buffers   *membudget.Budget // shared with batch jobs that other daemons hand in; nil: no bound
	Upstreams proxy.Upstreams
	Engines   batch.Engines // for batch items
	Orders    duty.Engines  // for weight loads
	Provider  duty.Provider // nil if there is no provider to report usage to
	Scorer    func(*Node) batch.Scorer
	InFlight  func() int // number of callers' requests in progress; nil: unknown
}

// Node is one process of a deployment.
type Node struct {
	cfg Config
	// ownRegion allows the region of this node only.
	ownRegion      *homes.Homes
	replicaRegions replicaRegions
	replicaLevels  replicaLevels
	log            *log.Logger
	started        time.Time
	client         *peer.Client
	server         *peer.Server
	folder         *storage.Folder  // data folder, owned until Wait returns; nil without one
	replica        *control.Replica // nil without a data folder
	// announced is replica for the gossip, which also runs while the node waits for the group.
	announced atomic.Pointer[control.Replica]
	// replicaError is why the replica has stopped. It may be read once Wait has returned.
	replicaError error
	identity     atomic.Pointer[storage.Identity] // zero without a data folder and while joining
	follower     *control.Follower
	health       *control.Health
	proposer     *control.Proposer
	gossip       *member.Gossip

	directory    *upstream.Directory
	evacuations  *evacuation.Filter
	versionTable *weights.VersionTable
	rates        *ratecap.Keeper
	workloads    *chooser.Workloads
	origins      *takeup.Keeper
	quarantine   *quarantine.Table
	proxy        *proxy.Proxy
	counter      *duty.Counter
	usage        *duty.Usage     // nil without a data folder or if usage reports are disabled
	carrier      *batch.Carrier  // runs items for the leader; nil without a data folder
	carriers     *batch.Carriers // the other daemons' carriers, for the leader; nil without a data folder
	dependencies Dependencies

	start start

	demandMu   sync.Mutex
	demand     map[string]float64 // tokens of recent batch jobs, by model
	versionLag map[string]uint64  // versions behind the newest one that the last batch job allowed, by model

	weighting *entryWeighting
	table     atomic.Pointer[routing.Table]
	draining  atomic.Bool
	wg        sync.WaitGroup // goroutines of Start
}

// New returns a node; Start runs it. A replica with an empty data folder forms the control
// group together with the other founders on the first start of the deployment, once it knows
// that they are new, too. Otherwise it joins the running group as a learner, which blocks
// until that group answers or ctx ends. Meanwhile the node listens on its peer address. While
// another process uses the data folder, New waits and does not listen.
func New(ctx context.Context, cfg Config, deps Dependencies, logger *log.Logger) (*Node, error) {
	n := &Node{
		cfg: cfg, ownRegion: homes.Of([]string{cfg.Region}), log: logger, started: time.Now(), dependencies: deps, health: control.NewHealth(),
		client: peer.NewClient(peer.DialFrom(cfg.PeerAddress)), server: peer.NewServer(), versionTable: weights.NewVersionTable(), demand: map[string]float64{}, versionLag: map[string]uint64{},
	}
	n.server.Protect(deps.Peers)
	n.identity.Store(&storage.Identity{})
	n.weighting = newEntryWeighting(cfg.ID, logger.WithPrefix("weights"))
	n.follower = control.NewFollower(n.sources, freshnessLease, logger.WithPrefix("follow"))
	n.gossip = member.NewGossip(n.client, n.seeds, n.self)
	n.gossip.KnowAllRegions()
	n.gossip.OnRenew = func(known, renewed member.Daemon) { member.LogRenewal(n.log, known, renewed) }
	n.gossip.Register(n.server)
	if cfg.DataFolder != "" {
		if err := n.openReplica(ctx); err != nil {
			n.releaseFolder()
			return nil, err
		}
	}
	n.proposer = control.NewProposer(n.replica, n.client, n.replicaAddresses, n.health, logger.WithPrefix("control"))
	n.start.gate = readiness.NewGate(logger.WithPrefix("ready"))
	n.directory = upstream.NewDirectory(n.gossip)
	n.directory.Zones = cfg.Zones
	n.directory.OnFirst = func(string) { n.start.gate.Notify() }
	n.directory.Register(n.server)
	n.evacuations = evacuation.NewFilter(n.follower, n.directory, logger.WithPrefix("zones"))
	n.rates = ratecap.NewKeeper(ratecap.Deployment{
		Daemon: cfg.ID, Replicas: n.replicaAddresses, Leads: n.issuesTokens, LeaderAddress: n.leaderAddress, Daemons: func() int { return len(n.gossip.Live()) },
		Broadcast: n.gossip.Broadcast, Ask: ratecap.AskOver(n.client), Gone: n.directory.Ended, ColdRate: n.coldRate,
	}, logger.WithPrefix("rates"))
	n.rates.Register(n.server)
	n.quarantine = quarantine.NewTable(time.Now, quarantine.GroupNotifier{Group: n.gossip, Client: n.client, Timeout: confirmTimeout})
	n.quarantine.Register(n.server)
	n.counter = duty.NewCounter(n.incarnation(), max(cfg.UsageInterval, time.Second))
	c := chooser.New(upstream.KnownDirectory{Directory: n.directory})
	n.workloads = chooser.NewWorkloads(logger.WithPrefix("work"))
	c.Entry, c.Rates, c.Workloads = cfg.ID, n.rates, n.workloads
	n.origins = takeup.NewKeeper(takeup.Deployment{
		Daemon: cfg.ID, Replicas: n.recordKeepers, Notify: n.client.Notify, Ask: takeup.AskOver(n.client), Current: n.directory.Get,
	}, logger.WithPrefix("takeup"))
	n.origins.Register(n.server)
	deps.Links.Deploy(reach.Deployment{Region: cfg.Region, Helpers: n.helpers, DialHelper: peer.DialFrom(cfg.PeerAddress), Upstreams: func() []reach.Upstream { return reach.UpstreamsOf(n.directory.Known()) }}, n.server)
	n.proxy = proxy.New(logger.WithPrefix("proxy"), cfg.Zone, c, deps.Upstreams, n.counter, newCrashTracker(n))
	n.proxy.KeepOrigins(n.origins)
	n.proxy.RefreshUpstreamsBy(n.refreshUpstreams)
	if n.replica != nil {
		n.replica.LimitProposals(deps.Buffers)
		n.replica.Register(n.server)
		n.registerUsage()
		scorer, process := deps.Scorer(n), n.started.UnixNano()
		n.carrier = batch.NewCarrier(n.client, cfg.PeerAddress, process, batch.RetainedLimit(deps.Buffers.Limit()), deps.Engines, scorer, logger.WithPrefix("carrier"))
		n.carrier.Register(n.server)
		n.carriers = batch.NewCarriers(n.client, cfg.PeerAddress, process, newCarrierPlacement(n), deps.Engines, scorer, logger.WithPrefix("batch"))
		n.carriers.Register(n.server)
	}
	return n, nil
}

// incarnation returns the node's ID and start time, which together identify this process.
func (n *Node) incarnation() string { return fmt.Sprintf("%s:%d", n.cfg.ID, n.started.UnixNano()) }

// Start listens on the peer address and starts the node's goroutines, which run until ctx
// ends. It doesn't block.
func (n *Node) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.cfg.listenAddress())
	if err != nil {
		return err
	}
	n.spawn(func() {
		<-ctx.Done()
		listener.Close()
		n.server.Close()
	})
	n.spawn(func() { n.server.Serve(ctx, listener) })
	n.spawn(func() { n.follower.Run(ctx) })
	n.spawn(func() { n.updateTable(ctx) })
	n.spawn(func() { n.gossip.Run(ctx) })
	n.spawn(func() { n.quarantine.Run(ctx) })
	n.spawn(func() { n.rates.Run(ctx) })
	n.spawn(func() { n.origins.Run(ctx) })
	n.spawn(func() { n.dependencies.Links.Run(ctx) })
	status := newStatusLogger(n)
	n.spawn(func() {
		periodic.Every(ctx, expireInterval, func() {
			n.directory.Expire()
			n.noteReplicas()
			status.logChanges()
		})
	})
	if n.cfg.CallerAddress != "" {
		n.spawn(func() { periodic.Every(ctx, weightingInterval, n.observeWeighting) })
	}
	process := telemetry.NewProcessStatus(n.log)
	n.spawn(func() {
		periodic.Every(ctx, processStatusInterval, func() { process.Log(n.statusFields(ctx)...) })
	})
	n.spawn(func() { n.watchStart(ctx) })
	n.spawn(func() { n.pullFirst(ctx) })
	n.spawn(func() { n.pullUntilComplete(ctx) })
	n.spawn(func() { periodic.Every(ctx, directoryPullInterval, func() { n.pullDirectory(ctx) }) })
	if n.cfg.CallerAddress != "" && n.cfg.UsageInterval > 0 {
		n.spawn(func() { periodic.Every(ctx, countsInterval, n.sendCounts) })
	}
	if n.replica != nil {
		n.startReplica(ctx)
	}
	return nil
}

// startReplica runs the replica, the management of the control group, batch jobs and
// duties.
func (n *Node) startReplica(ctx context.Context) {
	n.spawn(func() {
		if err := n.replica.Run(ctx); err != nil {
			n.replicaError = err
			n.log.Error("Replica stopped.", "code", int(result.CodeOf(err)), "err", result.From(err).Message)
		}
	})
	reconciler := control.NewMembershipReconciler(n.replica, n.liveReplicas, n.targetVoters, n.log.WithPrefix("group"))
	n.spawn(func() { reconciler.Run(ctx) })
	n.spawn(func() { n.carrier.Run(ctx) })
	n.spawn(func() { n.carriers.Run(ctx) })
	runner := batch.NewRunner(n.replica, engineDirectory{n}, n.carriers, n.carriers, n.log.WithPrefix("batch"))
	n.spawn(func() { runner.Run(ctx) })
	weightsDuty := duty.NewWeights(n.weightsTerm(), publishedModels{n}, n.directory.Known, n.versionTable, n.dependencies.Orders, n.log.WithPrefix("weights"))
	n.spawn(func() { weightsDuty.Run(ctx) })
	if n.usage != nil {
		n.spawn(func() { n.usage.Run(ctx) })
	}
}

// Failed returns a channel that is closed when the replica has stopped. Without a replica
// it returns nil.
func (n *Node) Failed() <-chan struct{} {
	if n.replica == nil {
		return nil
	}
	return n.replica.Done()
}

// ReplicaError returns why the replica has stopped, or nil if it stopped because the context
// of Start ended. It may be called once Wait has returned.
func (n *Node) ReplicaError() error { return n.replicaError }

func (n *Node) term() *duty.Term {
	return duty.NewTerm(n.replica.Leadership, n.cfg.ID, n.cfg.TakeoverDelay)
}

// weightsTerm is term once this node knows which zones are evacuated: a replica may lead before its
// own follower has the newest configuration. It does not wait for the whole takeover delay, in which
// batch items find no engine with the weights that they need, if the previous leader led for as long.
// Usage reports wait: entries send their counts again meanwhile.
func (n *Node) weightsTerm() *duty.Term {
	return duty.NewTerm(func() control.Leadership {
		if !n.evacuations.Proven() {
			return control.Leadership{}
		}
		return n.replica.Leadership()
	}, n.cfg.ID, n.cfg.TakeoverDelay).ActingEarly()
}

func (n *Node) spawn(f func()) { n.wg.Go(f) }

// Wait blocks until all goroutines of Start have ended, then closes the peer client and lets
// another process use the data folder. By then no listener of this node is open.
func (n *Node) Wait() {
	n.wg.Wait()
	n.client.Close()
	n.releaseFolder()
}

// self returns the heartbeat of this node.
func (n *Node) self() member.Daemon {
	d := member.Daemon{
		ID: n.cfg.ID, Incarnation: n.started.UnixNano(), Zone: n.cfg.Zone, Region: n.cfg.Region,
		CallerAddress: n.cfg.CallerAddress, PeerAddress: n.cfg.PeerAddress, Replica: n.announcedReplica(),
		Fresh: n.follower.Fresh(), Draining: n.draining.Load(), Relays: true, Severed: n.dependencies.Links.Severed(), Level: member.Level,
	}
	if n.cfg.CallerAddress != "" {
		d.Capacity = n.cfg.Capacity
		d.Overloaded, d.InFlight = n.weighting.load()
	}
	return d
}

// Level returns the level of log entries that all known daemons can read, see member.Level.
func (n *Node) Level() int { return member.CommonLevel(n.gossip.Live()) }

// announcedReplica returns the ID of the replica, or "" while it takes no part in the
// control group: then the others replace its vote and do not call it.
func (n *Node) announcedReplica() string {
	if r := n.announced.Load(); r == nil || !r.Available() {
		return ""
	}
	return string(n.identity.Load().ID)
}

// updateTable applies the evacuations of each new configuration and compiles its routes into the
// active table, in this order, until ctx ends.
func (n *Node) updateTable(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.follower.Changed()
		if c := n.evacuations.Apply().Routing; c != nil {
			if old := n.table.Load(); old == nil || old.Config != c {
				n.table.Store(routing.NewTable(c))
				n.start.gate.Notify()
				n.log.Info("Configuration active.", "version", c.Version, "routes", len(c.Routes), "accounts", len(c.Accounts))
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Table returns the active routing table, or nil before the first configuration.
func (n *Node) Table() *routing.Table { return n.table.Load() }

// Serve sends a caller's request to an upstream and returns the response. Background work, which can
// wait, does not begin before this node knows which zones are evacuated.
func (n *Node) Serve(ctx context.Context, q *proxy.Request) (*proxy.Answer, error) {
	if q.Background && !n.evacuations.Proven() {
		return nil, result.NewRetryAfter(result.NotFresh, time.Second, "this daemon does not know yet which zones are evacuated")
	}
	return n.proxy.Serve(ctx, q)
}

// Rates returns the tracker to which the clients of upstreams and engines report what they
// send and what the answers say of the rate that an upstream takes.
func (n *Node) Rates() ratecap.Tracker { return n.rates }

// Loads returns the tracker of the loads that upstreams state in their answers.
func (n *Node) Loads() workload.Tracker { return n.workloads }

// Departures returns the tracker to which the clients of upstreams and engines report that
// an upstream leaves.
func (n *Node) Departures() upstream.DepartureTracker {
	return upstream.DepartureRecorder{Directory: n.directory, Log: n.log}
}

// InEvacuatedZone reports whether nothing may be sent to an upstream because its availability zone
// is evacuated.
func (n *Node) InEvacuatedZone(a upstream.Announcement) bool { return n.directory.InEvacuatedZone(a) }

// Drain marks the node as draining, which removes it from the list of entries, and
// announces this to the other daemons. It can't be undone.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.start.gate.Notify()
	n.dependencies.Links.Drain()
	n.gossip.AnnounceChanges()
	if n.carrier != nil {
		n.carrier.Drain()
	}
}

// Ready reports whether the node has a routing table and isn't draining.
func (n *Node) Ready() bool { return n.Table() != nil && !n.draining.Load() }

// Fresh reports whether the configuration contains everything that was committed more than
// the freshness lease ago.
func (n *Node) Fresh() bool { return n.follower.Fresh() }

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.draining.Load() }

// Log returns the node's logger.
func (n *Node) Log() *log.Logger { return n.log }

// Group returns the newest membership of the control group that this node knows.
func (n *Node) Group() consensus.Membership { return n.follower.Members() }

// liveReplicas returns the live replicas.
func (n *Node) liveReplicas() []consensus.Member {
	var out []consensus.Member
	for _, d := range member.Replicas(n.gossip.Live()) {
		out = append(out, consensus.Member{ID: consensus.ID(d.Replica), Address: d.PeerAddress, Zone: d.Zone})
	}
	return out
}

// targetVoters returns the number of voters that keeps a quorum after Tolerance failures,
// at least 3.
func (n *Node) targetVoters() int { return 2*max(n.cfg.Tolerance, 1) + 1 }
