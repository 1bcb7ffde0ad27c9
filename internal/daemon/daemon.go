// Package daemon builds the components of one daemon from its settings and runs them.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/claim"
	"github.com/apricotstream/apricotstream/internal/conntrack"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/evacuation"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/inbound"
	"github.com/apricotstream/apricotstream/internal/limit"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/reach"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/settings"
	"github.com/apricotstream/apricotstream/internal/storage"
	"github.com/apricotstream/apricotstream/internal/telemetry"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/usage"
)

// Daemon is one daemon of a deployment: an entry for callers, and a replica of the
// control log if it has a data folder.
type Daemon struct {
	cfg         *settings.Settings
	log         *log.Logger
	started     time.Time
	incarnation string

	client      *peer.Client
	server      *peer.Server
	folder      *storage.Folder  // nil without a data folder
	replica     *control.Replica // nil without a data folder
	identity    storage.Identity
	follower    *control.Follower
	health      *control.Health
	proposer    *control.Proposer
	gossip      *member.Gossip
	directory   *upstream.Directory
	evacuations *evacuation.Filter
	admission   *admission.FairAdmitter
	limits      *limit.Limiter
	usage       *usage.Counter
	gateway     *gateway.Gateway
	links       *reach.Links
	rates       *ratecap.Keeper
	quarantine  *quarantine.Table
	tracing     *telemetry.Tracing
	claims      *claim.Runner
	connections *conntrack.Connections // connections of callers

	wg sync.WaitGroup
}

// New returns a daemon with the given settings. Run serves. While another process uses the data
// folder, New waits until ctx ends. The data folder belongs to this process until it ends.
func New(ctx context.Context, cfg *settings.Settings, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: logger, started: time.Now(), health: control.NewHealth(), client: peer.NewClient(peer.DialFrom(cfg.PeerAddress)), server: peer.NewServer()}
	d.incarnation = fmt.Sprintf("%s:%d", cfg.ID, d.started.UnixNano())
	var err error
	if d.tracing, err = telemetry.NewTracing(ctx, cfg.ID, cfg.OTLPEndpoint); err != nil {
		return nil, err
	}
	if cfg.DataFolder != "" {
		if d.folder, err = control.OwnFolder(ctx, cfg.DataFolder, cfg.PeerListen, logger.WithPrefix("control")); err != nil {
			return nil, err
		}
		d.replica, d.identity, err = control.Open(d.folder, cfg.PeerAddress, d.client, logger.WithPrefix("control"))
		if err != nil {
			return nil, err
		}
	}
	d.buildControl()
	d.buildTraffic()
	return d, nil
}

// buildControl builds the components of the control plane: the follower and the proposer
// of the control log, membership and the upstream directory.
func (d *Daemon) buildControl() {
	d.follower = control.NewFollower(d.sources, d.cfg.FreshnessLease, d.log.WithPrefix("follow"))
	d.proposer = control.NewProposer(d.replica, d.client, d.replicaAddresses, d.health, d.log.WithPrefix("control"))
	d.gossip = member.NewGossip(d.client, func() []string { return d.cfg.Peers }, d.self)
	d.gossip.OnRenew = func(known, renewed member.Daemon) { member.LogRenewal(d.log, known, renewed) }
	d.gossip.Register(d.server)
	d.directory = upstream.NewDirectory(d.gossip)
	d.directory.Register(d.server)
	d.evacuations = evacuation.NewFilter(d.follower, d.directory, d.log.WithPrefix("zones"))
	if d.replica != nil {
		d.replica.Register(d.server)
	}
}

// buildTraffic builds the components that serve requests: claims, admission, limits,
// rollouts and the gateway.
func (d *Daemon) buildTraffic() {
	d.claims = claim.New(d.proposer, d.incarnation, d.ownerAlive)
	d.connections = conntrack.New()
	d.quarantine = quarantine.NewTable(time.Now, quarantine.GroupNotifier{Group: d.gossip, Client: d.client, Timeout: confirmTimeout})
	d.quarantine.Register(d.server)
	d.links = reach.NewLinks(reach.Direct(""), d.log.WithPrefix("links"))
	d.links.Deploy(reach.Deployment{Helpers: func() []reach.Helper { return reach.HelpersOf(d.gossip.Live(), d.cfg.PeerAddress) }, DialHelper: peer.DialFrom(d.cfg.PeerAddress), Upstreams: func() []reach.Upstream { return reach.UpstreamsOf(d.directory.Known()) }}, d.server)
	dispatcher := dispatch.New(d.cfg.Zone, d.directory, forward.NewOver(d.links.DialAny), d.quarantine, d.tracing.Tracer)
	dispatcher.JudgeCrashesBy(d.links.RefusesConnections)
	dispatcher.TrackDepartures(d.departures())
	dispatcher.SkipEvacuated(d.directory.InEvacuatedZone)
	d.rates = ratecap.NewKeeper(ratecap.Deployment{
		Daemon: d.cfg.ID, Replicas: d.replicaAddresses, Leads: d.leads, LeaderAddress: d.leaderAddress, Daemons: func() int { return len(d.gossip.Live()) },
		Broadcast: d.gossip.Broadcast, Ask: ratecap.AskOver(d.client), Gone: d.directory.Ended,
	}, d.log.WithPrefix("rates"))
	d.rates.Register(d.server)
	dispatcher.KeepRates(d.rates)
	d.usage = usage.NewCounter(d.incarnation)
	d.admission = admission.NewFairAdmitter(admission.NewSlotAllocator(d.directory, d.entryShare))
	d.limits = limit.New(d.incarnation, d.follower.Config, d.client, d.grantorAddresses, d.leadership)
	d.limits.Register(d.server)
	admitter := limit.Admitter{Limiter: d.limits, Next: d.admission}
	background := dispatch.Background{Admission: admitter, Dispatcher: dispatcher}
	rollouts := rollout.NewManager(d.incarnation, d.cfg.PeerAddress, d.follower, d.proposer, background, d.client, d.usage, d.log.WithPrefix("rollout"))
	rollouts.Register(d.server)
	d.gateway = gateway.New(gateway.Dependencies{
		Log: d.log.WithPrefix("gateway"), Daemon: d.cfg.ID, Zone: d.cfg.Zone, AddressTTL: d.cfg.AddressTTL,
		View: d.follower, Control: d.proposer, Members: d.gossip, Directory: d.directory,
		Dispatcher: dispatcher, Admission: admitter,
		Claims:     d.claims,
		Quarantine: d.quarantine, Rollouts: rollouts, Usage: d.usage, Tracing: d.tracing,
		Buffers: membudget.ForMemory(int64(d.cfg.MemoryMB) << 20),
	})
}

// departures returns the tracker of the upstreams that say in an answer that they leave.
func (d *Daemon) departures() upstream.DepartureTracker {
	return upstream.DepartureRecorder{Directory: d.directory, Log: d.log}
}

// self returns the heartbeat of this daemon.
func (d *Daemon) self() member.Daemon {
	m := member.Daemon{
		ID: d.cfg.ID, Incarnation: d.started.UnixNano(), Zone: d.cfg.Zone, Region: d.cfg.Region,
		CallerAddress: d.cfg.CallerAddress, PeerAddress: d.cfg.PeerAddress,
		Fresh: d.follower.Fresh(),
	}
	if d.replica != nil && d.replica.Available() { // else others replace its vote and do not call it
		m.Replica = string(d.identity.ID)
	}
	m.Level = member.Level
	if d.links != nil {
		m.Relays, m.Severed = true, d.links.Severed()
	}
	if d.gateway != nil {
		m.Draining = d.gateway.Drain().Draining()
		m.InFlight = d.gateway.Drain().InFlight()
	}
	return m
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a listener
// can't be opened, the HTTP server fails or tracing can't be closed.
func (d *Daemon) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", d.cfg.PeerListen)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", d.cfg.CallerAddress)
	if err != nil {
		peerListener.Close()
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.server.Protect(peer.NewGuard(inbound.Share(inbound.Descriptors(), peerShare), membudget.New(frameBudgetBytes), d.log.WithPrefix("peers")))
	go d.server.Serve(background, peerListener)
	d.start(background)
	httpServer := &http.Server{Handler: d.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: d.connections.Track}
	failed := make(chan error, 1)
	guard := inbound.NewGuard("callers", inbound.Share(inbound.Descriptors(), callerShare), membudget.New(headBudgetBytes), d.log.WithPrefix("inbound"))
	guarded := guard.Protect(httpServer, callerListener)
	go func() { failed <- httpServer.Serve(guarded) }()
	d.log.Info("Daemon started.", "id", d.cfg.ID, "zone", d.cfg.Zone, "callers", d.cfg.CallerAddress, "replica", d.identity.ID)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d.drain(httpServer, callerListener)
	stop()
	peerListener.Close()
	d.server.Close()
	d.wg.Wait()
	d.client.Close()
	return d.tracing.Close(context.Background())
}

const (
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// headBudgetBytes bounds the memory of the heads of all requests.
	headBudgetBytes = 64 << 20
	// frameBudgetBytes bounds the memory of the incomplete frames of other daemons. The largest
	// frame, 256 MB, takes 320 MB while it arrives.
	frameBudgetBytes = 448 << 20
	// peerShare is the part of the descriptors that connections of other daemons may use.
	peerShare = 0.2
	// callerShare is the part of the descriptors that callers' connections may use. A request may
	// need one more for its upstream.
	callerShare = 0.4
)

// start starts the goroutines of all components, which run until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	d.spawn(func() { d.follower.Run(ctx) })
	d.spawn(func() { d.evacuations.Run(ctx) })
	d.spawn(func() { d.gossip.Run(ctx) })
	d.spawn(func() { d.quarantine.Run(ctx) })
	d.spawn(func() { d.rates.Run(ctx) })
	d.spawn(func() { d.links.Run(ctx) })
	d.spawn(func() { d.gateway.Sessions().Run(ctx) })
	d.spawn(func() { periodic.Every(ctx, expireInterval, d.directory.Expire) })
	d.spawn(func() { periodic.Every(ctx, admissionInterval, d.admission.Tick) })
	d.spawn(func() { d.limits.Run(ctx) })
	d.spawn(func() { periodic.Every(ctx, usageInterval, func() { _ = d.sendUsage(ctx) }) })
	if d.replica == nil {
		return
	}
	d.spawn(func() {
		if err := d.replica.Run(ctx); err != nil {
			d.log.Error("Replica stopped. The daemon continues as an entry.", "err", err.Error())
		}
	})
	d.spawn(func() { newRootDutyRunner(d).run(ctx) })
}

func (d *Daemon) spawn(f func()) {
	d.wg.Go(f)
}

// confirmTimeout bounds the wait until the other daemons have recorded a request that
// crashes upstreams. A daemon that is down or disconnected doesn't answer.
const confirmTimeout = 500 * time.Millisecond

// Intervals of periodic work.
const (
	expireInterval    = 200 * time.Millisecond
	admissionInterval = 50 * time.Millisecond
	usageInterval     = 250 * time.Millisecond
	dutyInterval      = 200 * time.Millisecond
)
