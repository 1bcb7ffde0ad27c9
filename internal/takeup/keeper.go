package takeup

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Parameters of a Keeper.
const (
	// copies is the number of replicas that keep a record, beside the entry where the stream
	// began. One may be lost at any time, together with all entries.
	copies = 2
	// retention is how long a record is kept after the last time at which its stream can run:
	// for callers that come back late.
	retention = 30 * time.Second
	// sendDelay collects the records of streams that begin at about the same time. Those of
	// an entry that is killed within it are lost.
	sendDelay = 5 * time.Millisecond
	// recordsPerNotice bounds a notice to about 25 KB.
	recordsPerNotice = 128
	// renewInterval is how often an entry looks for replicas that have come, gone or restarted.
	renewInterval = 250 * time.Millisecond
	// expireInterval is how often records are removed whose time is over.
	expireInterval = 5 * time.Second
)

var (
	streamsBegun = metrics.NewCounter("apricotstream_stream_records_total")
	recordsSent  = metrics.NewCounter("apricotstream_stream_records_sent_total")
	takeUps      = func(outcome string) *metrics.Counter {
		return metrics.GetOrCreateCounter(`apricotstream_take_ups_total{origin="` + outcome + `"}`)
	}
)

// Deployment is what a Keeper needs to know of the daemons and the upstreams.
type Deployment struct {
	Daemon   string           // ID of this daemon
	Replicas func() []Replica // live ones, this daemon included if it is one
	Notify   func(address, method string, params any)
	Ask      func(ctx context.Context, address string, q FindRequest) (FindReply, error)
	// Current returns the newest announcement of an upstream.
	Current func(id string) (upstream.Announcement, bool)
}

// Keeper keeps the origins of streams for one daemon. It may be used by many goroutines.
type Keeper struct {
	deployment Deployment
	log        *log.Logger
	started    time.Time
	wake       chan struct{} // records wait to be sent

	mu      sync.Mutex
	table   *Table
	own     map[Key]uint64 // streams that began or go on here, with the hash of the keepers that were told
	pending map[string][]SentRecord
	known   uint64    // hash of the replicas at the last look
	list    []Replica // the replicas at the last look
}

// NewKeeper returns a Keeper without records.
func NewKeeper(d Deployment, logger *log.Logger) *Keeper {
	return &Keeper{
		deployment: d, log: logger, started: time.Now(), wake: make(chan struct{}, 1), table: NewTable(maxRecords), own: map[Key]uint64{},
		pending: map[string][]SentRecord{},
	}
}

// Register adds the handlers of the keeper to s.
func (k *Keeper) Register(s *peer.Server) {
	peer.HandleNotice(s, MethodKeep, k.Told)
	peer.Handle(s, MethodFind, func(_ context.Context, q FindRequest) (FindReply, error) { return k.Answer(q), nil })
}

// Began records that an upstream generates events of the stream that a request of an account
// began. The stream runs until the given time at most. It does not wait for the keepers.
func (k *Keeper) Began(account, request string, from upstream.Announcement, until time.Time) {
	r := Record{
		Key: KeyOf(account, request), Account: accountHash(account), Origin: origin.Of(from), Upstream: from.ID, Incarnation: from.Incarnation,
		Until: until.Add(retention),
	}
	now := time.Now()
	if limit := now.Add(maxRetention); r.Until.After(limit) {
		r.Until = limit
	}
	if k.doubtful(r) {
		r.ambiguous()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.list) == 0 {
		k.list = k.deployment.Replicas()
	}
	streamsBegun.Inc()
	k.tell(now, k.table.Add(r))
}

// tell queues a record of this entry for its keepers. The caller holds k.mu.
func (k *Keeper) tell(now time.Time, r Record) {
	keepers := k.keepersOf(r.Key)
	k.own[r.Key] = hashReplicas(keepers)
	for _, to := range keepers {
		if to.ID != k.deployment.Daemon {
			k.pending[to.Address] = append(k.pending[to.Address], r.toSend(now))
		}
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// keepersOf returns the replicas that keep the record of a stream. The caller holds k.mu.
func (k *Keeper) keepersOf(key Key) []Replica {
	list := ranked(key, k.list)
	return list[:min(copies, len(list))]
}

// doubtful reports whether the upstream that began the stream of r announces another software
// version now. It may have started again before it began the stream.
func (k *Keeper) doubtful(r Record) bool {
	a, ok := k.deployment.Current(r.Upstream)
	return ok && a.Incarnation >= r.Incarnation && a.Software != r.Origin.Software
}

// Told takes the records that an entry tells.
func (k *Keeper) Told(records []SentRecord) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range records {
		if r, ok := s.received(now); ok {
			k.table.Add(r)
		}
	}
}

// Answer answers the question of another daemon.
func (k *Keeper) Answer(q FindRequest) FindReply {
	if len(q.Key) != len(Key{}) {
		return FindReply{}
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.table.Get(now, Key(q.Key))
	if !ok {
		return FindReply{}
	}
	s := r.toSend(now)
	return FindReply{Record: &s}
}

// Run sends records to their keepers until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	renew, expire := time.NewTicker(renewInterval), time.NewTicker(expireInterval)
	defer renew.Stop()
	defer expire.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			k.send() // streams that have begun may be taken up while this daemon shuts down
			return
		case <-k.wake:
			if due == nil {
				due = time.After(sendDelay)
			}
		case <-due:
			due = nil
			k.send()
		case <-renew.C:
			k.renew()
		case <-expire.C:
			k.expire()
		}
	}
}

// send sends the records that wait.
func (k *Keeper) send() {
	k.mu.Lock()
	pending := k.pending
	k.pending = map[string][]SentRecord{}
	k.mu.Unlock()
	for address, records := range pending {
		recordsSent.Add(len(records))
		for len(records) > 0 {
			n := min(recordsPerNotice, len(records))
			k.deployment.Notify(address, MethodKeep, records[:n])
			records = records[n:]
		}
	}
}

// renew tells the records of this entry to replicas that keep them now and did not before,
// because others were lost, or that have restarted.
func (k *Keeper) renew() {
	replicas := k.deployment.Replicas()
	hash := hashReplicas(replicas)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if hash == k.known {
		return
	}
	k.known, k.list = hash, replicas
	told := 0
	for key, before := range k.own {
		r, ok := k.table.Get(now, key)
		if !ok {
			delete(k.own, key)
			continue
		}
		if hashReplicas(k.keepersOf(key)) != before {
			k.tell(now, r)
			told++
		}
	}
	if told > 0 {
		k.log.Info("Replicas have changed: records of streams sent again.", "replicas", len(replicas), "records", told)
	}
}

// expire removes the records whose time is over.
func (k *Keeper) expire() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(now)
	for key := range k.own {
		if _, ok := k.table.Get(now, key); !ok {
			delete(k.own, key)
		}
	}
}
