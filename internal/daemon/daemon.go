// Package daemon wires the parts of one daemon together and runs them.
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
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/limit"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/settings"
	"github.com/apricotstream/apricotstream/internal/storage"
	"github.com/apricotstream/apricotstream/internal/telemetry"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/usage"
)

// Daemon is one running daemon.
type Daemon struct {
	set         *settings.Settings
	log         *log.Logger
	started     time.Time
	incarnation string

	client      *peer.Client
	server      *peer.Server
	replica     *control.Replica // nil without a data folder
	identity    storage.Identity
	follower    *control.Follower
	health      *control.Health
	proposer    *control.Proposer
	gossip      *member.Gossip
	directory   *upstream.Directory
	admission   *admission.FairAdmitter
	limits      *limit.Limiter
	usage       *usage.Counter
	gateway     *gateway.Gateway
	quarantine  *quarantine.Table
	tracing     *telemetry.Tracing
	claims      *claim.Runner
	connections *conntrack.Connections // of callers

	wg sync.WaitGroup
}

// New builds a daemon from its settings.
func New(ctx context.Context, set *settings.Settings, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{set: set, log: logger, started: time.Now(), health: control.NewHealth(), client: peer.NewClient(peer.DialFrom(set.PeerAddress)), server: peer.NewServer()}
	d.incarnation = fmt.Sprintf("%s:%d", set.ID, d.started.UnixNano())
	var err error
	if d.tracing, err = telemetry.NewTracing(ctx, set.ID, set.OTLPEndpoint); err != nil {
		return nil, err
	}
	if set.DataFolder != "" {
		d.replica, d.identity, err = control.Open(set.DataFolder, set.PeerAddress, d.client, logger.WithPrefix("control"))
		if err != nil {
			return nil, err
		}
	}
	d.buildControl()
	d.buildTraffic()
	return d, nil
}

func (d *Daemon) buildControl() {
	d.follower = control.NewFollower(d.sources, d.set.FreshnessLease, d.log.WithPrefix("follow"))
	d.proposer = control.NewProposer(d.replica, d.client, d.replicaAddresses, d.health)
	d.gossip = member.NewGossip(d.client, d.set.Peers, d.self)
	d.gossip.Register(d.server)
	d.directory = upstream.NewDirectory(d.gossip)
	d.directory.Register(d.server)
	if d.replica != nil {
		d.replica.Register(d.server)
	}
}

func (d *Daemon) buildTraffic() {
	d.claims = claim.New(d.proposer, d.incarnation, d.alive)
	d.connections = conntrack.New()
	d.quarantine = quarantine.NewTable(time.Now, quarantine.GroupNotifier{Group: d.gossip, Client: d.client, Timeout: confirmTimeout})
	d.quarantine.Register(d.server)
	dispatcher := dispatch.New(d.set.Zone, d.directory, forward.New(), d.quarantine, d.tracing.Tracer)
	d.usage = usage.NewCounter(d.incarnation)
	d.admission = admission.NewFairAdmitter(admission.NewSlotAllocator(d.directory, d.entries))
	d.limits = limit.New(d.incarnation, d.follower.Config, d.client, d.grantors, d.leadership)
	d.limits.Register(d.server)
	admitter := limit.Admitter{Limiter: d.limits, Next: d.admission}
	background := dispatch.Background{Admission: admitter, Dispatcher: dispatcher}
	rollouts := rollout.NewManager(d.incarnation, d.set.PeerAddress, d.follower, d.proposer, background, d.client, d.usage, d.log.WithPrefix("rollout"))
	rollouts.Register(d.server)
	d.gateway = gateway.New(gateway.Parts{
		Log: d.log.WithPrefix("gateway"), Daemon: d.set.ID, Zone: d.set.Zone, AddressTTL: d.set.AddressTTL,
		View: d.follower, Control: d.proposer, Members: d.gossip, Directory: d.directory,
		Dispatcher: dispatcher, Admission: admitter,
		Claims:     d.claims,
		Quarantine: d.quarantine, Rollouts: rollouts, Usage: d.usage, Tracing: d.tracing,
	})
}

// self is this daemon's heartbeat.
func (d *Daemon) self() member.Daemon {
	m := member.Daemon{
		ID: d.set.ID, Incarnation: d.started.UnixNano(), Zone: d.set.Zone, Region: d.set.Region,
		CallerAddress: d.set.CallerAddress, PeerAddress: d.set.PeerAddress, Replica: string(d.identity.ID),
		Fresh: d.follower.Fresh(),
	}
	if d.gateway != nil {
		m.Draining = d.gateway.Drain().Draining()
		m.InFlight = d.gateway.Drain().InFlight()
	}
	return m
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", d.set.PeerListen)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		peers.Close()
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go d.server.Serve(background, peers)
	d.start(background)
	web := &http.Server{Handler: d.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: d.connections.Track}
	failed := make(chan error, 1)
	go func() { failed <- web.Serve(callers) }()
	d.log.Info("Daemon serves.", "id", d.set.ID, "zone", d.set.Zone, "callers", d.set.CallerAddress, "replica", d.identity.ID)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d.drain(web, callers)
	stop()
	peers.Close()
	d.server.Close()
	d.wg.Wait()
	d.client.Close()
	return d.tracing.Close(context.Background())
}

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

func (d *Daemon) start(ctx context.Context) {
	d.spawn(func() { d.follower.Run(ctx) })
	d.spawn(func() { d.gossip.Run(ctx) })
	d.spawn(func() { d.quarantine.Run(ctx) })
	d.spawn(func() { d.gateway.Sessions().Run(ctx) })
	d.spawn(func() { periodic.Every(ctx, expireInterval, d.directory.Expire) })
	d.spawn(func() { periodic.Every(ctx, admitInterval, d.admission.Tick) })
	d.spawn(func() { d.limits.Run(ctx) })
	d.spawn(func() { periodic.Every(ctx, usageInterval, func() { _ = d.sendUsage(ctx) }) })
	if d.replica == nil {
		return
	}
	d.spawn(func() {
		if err := d.replica.Run(ctx); err != nil {
			d.log.Error("Replica stopped. Daemon goes on as an entry.", "err", err.Error())
		}
	})
	d.spawn(func() { newDuties(d).run(ctx) })
}

func (d *Daemon) spawn(f func()) {
	d.wg.Go(f)
}

// confirmTimeout bounds the wait until the other daemons know of a request that
// kills upstreams; one that is down or cut off does not answer.
const confirmTimeout = 500 * time.Millisecond

// Intervals of upkeep.
const (
	expireInterval = 200 * time.Millisecond
	admitInterval  = 50 * time.Millisecond
	usageInterval  = 250 * time.Millisecond
	dutyInterval   = 200 * time.Millisecond
)
