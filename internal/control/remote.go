package control

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Remote is a Source at another daemon.
type RemoteSource struct {
	Client  *peer.Client
	Address string
	Health  *Health
}

// Sync implements Source.
func (r RemoteSource) Sync(ctx context.Context, q SyncRequest) (SyncReply, error) {
	reply, err := peer.Call[SyncReply](ctx, r.Client, r.Address, MethodSync, q)
	r.Health.Mark(r.Address, answered(err))
	return reply, err
}

// AllSources lists what to follow, best first: the local replica, when there is
// one, and those at addresses, the ones that did not answer lately last.
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
