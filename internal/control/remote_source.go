package control

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// RemoteSource is a replica on another daemon.
type RemoteSource struct {
	Client  *peer.Client
	Address string
	Health  *Health
}

// Sync implements Source.
func (r RemoteSource) Sync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	reply, err := peer.Call[SyncReply](ctx, r.Client, r.Address, MethodSync, q)
	r.Health.Mark(r.Address, replicaAnswered(err))
	return reply, err
}

// Connected reports whether there is a connection to the replica.
func (r RemoteSource) Connected() bool { return r.Client.Connected(r.Address) }

// Connect opens a connection to the replica.
func (r RemoteSource) Connect(ctx context.Context) error { return r.Client.Connect(ctx, r.Address) }

// AllSources lists the replicas to sync with, best first: the local replica, if there is
// one, then those at addresses. Replicas that did not answer recently come last.
func AllSources(local *Replica, client *peer.Client, addresses []string, health *Health) []Source {
	var out []Source
	if local != nil {
		out = append(out, local)
	}
	for _, a := range health.Sorted(addresses) {
		out = append(out, RemoteSource{Client: client, Address: a, Health: health})
	}
	return out
}
