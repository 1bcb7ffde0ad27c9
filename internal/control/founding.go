package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

const (
	// foundingGrace is the time for which a founder waits for all others, although those
	// that have not answered can't have formed the group.
	foundingGrace = 2 * time.Second
	// foundingPatience is the time after which a majority of new founders forms the group
	// without the others. Within it, replicas of a running group that have restarted or
	// been cut off make themselves known through the gossip.
	foundingPatience = 10 * time.Second
)

// FoundingRequest asks a founder whether the group exists. The requester has no log.
type FoundingRequest struct {
	Address string `json:"address"` // peer address of the requester
}

// FoundingReply answers a FoundingRequest.
type FoundingReply struct {
	Formed bool `json:"formed"` // the founder has a log, or belongs to a group
}

// Founding is the decision of a founder without a log whether to form the group or to join
// it. If the group exists, the founder has lost its disk, and could give a vote of its old
// identity a second time.
type Founding struct {
	self     string
	founders []string
	absence  *Absence // answers from the moment at which the group is known to exist

	mu     sync.Mutex
	isNew  map[string]bool // founders that have had no log since this process waits
	formed bool
}

// NewFounding returns the decision of the founder at the address self, whose data folder
// absence has looked at.
func NewFounding(self string, founders []string, absence *Absence) *Founding {
	return &Founding{self: self, founders: founders, absence: absence, isNew: map[string]bool{self: true}}
}

// Register answers the other founders while this one waits, and once it is to join, the
// replicas that ask for the voter that has run here.
func (f *Founding) Register(s *peer.Server) {
	f.absence.Register(s)
	peer.Handle(s, MethodFounding, func(_ context.Context, q FoundingRequest) (FoundingReply, error) {
		f.record(q.Address, false)
		return FoundingReply{}, nil
	})
}

// record records what is known of a founder. One that asks has no log; so whoever counts
// this founder as new is counted by it, and no new founder is left behind.
func (f *Founding) record(address string, formed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.formed = f.formed || formed
	if formed {
		f.absence.Begin()
	}
	if !formed && slices.Contains(f.founders, address) {
		f.isNew[address] = true
	}
}

// Await asks the other founders, and the replicas at the addresses that replicas returns,
// until it is known whether to form the group, or ctx ends.
func (f *Founding) Await(ctx context.Context, client *peer.Client, replicas func() []string, logger *log.Logger) (form bool, err error) {
	began := time.Now()
	for {
		f.ask(ctx, client, replicas())
		f.mu.Lock()
		isNew, formed := len(f.isNew), f.formed
		f.mu.Unlock()
		decision := decideFounding(len(f.founders), isNew, formed, time.Since(began))
		if decision != foundingOpen {
			logger.Info("Founders have answered.", "form", decision == foundingForm, "new", isNew, "of", len(f.founders), "ms", time.Since(began).Milliseconds())
			return decision == foundingForm, nil
		}
		if !periodic.Pause(ctx, joinRetryInterval) {
			return false, ctx.Err()
		}
	}
}

// ask asks all founders and replicas at the same time.
func (f *Founding) ask(ctx context.Context, client *peer.Client, replicas []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range f.founders {
		if a == f.self {
			continue
		}
		wg.Go(func() {
			// A founder that does not answer is asked again.
			if r, err := peer.Call[FoundingReply](ctx, client, a, MethodFounding, FoundingRequest{Address: f.self}); err == nil {
				f.record(a, r.Formed)
			}
		})
	}
	for _, a := range replicas {
		if slices.Contains(f.founders, a) {
			continue
		}
		wg.Go(func() {
			if r, err := peer.Call[MembersReply](ctx, client, a, MethodMembers, MembersRequest{}); err == nil && r.Cluster != "" {
				f.record(a, true)
			}
		})
	}
	wg.Wait()
}

// foundingDecision is what a founder without a log does.
type foundingDecision int

const (
	foundingOpen foundingDecision = iota // ask again
	foundingForm
	foundingJoin
)

// decideFounding decides for a founder that has waited, given the number of founders and
// of those among them that are known to be new, itself included. A group that exists had a
// majority of the founders with a log: this one, and at least half of all rounded down
// among the others.
func decideFounding(founders, isNew int, formed bool, waited time.Duration) foundingDecision {
	unknown := founders - isNew
	switch {
	case formed:
		return foundingJoin
	case unknown == 0,
		unknown < founders/2 && waited >= foundingGrace,
		isNew > founders/2 && waited >= foundingPatience:
		return foundingForm
	}
	return foundingOpen
}

// answerFounding tells a founder without a log whether the group exists. A founder that
// has its folder, but neither a log nor a term, is as new as one without.
func (r *Replica) answerFounding(context.Context, FoundingRequest) (FoundingReply, error) {
	if r.suspended.Load() {
		return FoundingReply{}, errUnavailable()
	}
	return FoundingReply{Formed: hasFormed(r.Status(), r.address)}, nil
}

// hasFormed reports whether the replica at address has taken part in a group.
func hasFormed(st consensus.Status, address string) bool {
	return st.ID != founderID(address) || st.Term > 1 || st.LastIndex > InitialIndex
}
