package control

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// membersAnswer is the answer of a replica, or of an address at which none runs any more, to a
// MembersRequest.
type membersAnswer struct {
	address string
	cluster string
	err     error
	tries   int // rounds that had ended when the replica was asked
}

// clusterSearch asks replicas for the cluster ID. Replicas that do not answer hold up
// the next one for joinRetryInterval only: after several losses most addresses may be those of
// machines that are gone.
type clusterSearch struct {
	client  *peer.Client
	log     *log.Logger
	answers chan membersAnswer
	asked   []string // in this round
	waiting []string // addresses that have not answered yet
	tries   int      // rounds that have ended
}

// findCluster asks the replicas at the addresses that addresses returns, in this order, until one
// of them replies with the cluster ID or ctx ends. Addresses that become known in the meantime are
// asked next.
func findCluster(ctx context.Context, client *peer.Client, addresses func() []string, logger *log.Logger) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &clusterSearch{client: client, log: logger, answers: make(chan membersAnswer)}
	for {
		more := s.askNext(ctx, addresses())
		if cluster, err := s.await(ctx, more); cluster != "" || err != nil {
			return cluster, err
		}
	}
}

// askNext asks the first address that has not been asked in this round. It returns false and begins
// the next round if there is none.
func (s *clusterSearch) askNext(ctx context.Context, addresses []string) bool {
	i := slices.IndexFunc(addresses, func(a string) bool { return !slices.Contains(s.asked, a) && !slices.Contains(s.waiting, a) })
	if i < 0 {
		s.asked = nil
		s.tries++
		return false
	}
	a := addresses[i]
	s.asked, s.waiting = append(s.asked, a), append(s.waiting, a)
	go s.ask(ctx, a, s.tries)
	return true
}

func (s *clusterSearch) ask(ctx context.Context, address string, tries int) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peer.Call[MembersReply](callCtx, s.client, address, MethodMembers, MembersRequest{})
	select {
	case s.answers <- membersAnswer{address, reply.Cluster, err, tries}:
	case <-ctx.Done():
	}
}

// await takes answers for joinRetryInterval, or with more addresses to ask until the first one. It
// returns the cluster ID if an answer contains it.
func (s *clusterSearch) await(ctx context.Context, more bool) (cluster string, err error) {
	end := time.NewTimer(joinRetryInterval)
	defer end.Stop()
	for {
		select {
		case a := <-s.answers:
			s.waiting = slices.DeleteFunc(s.waiting, func(address string) bool { return address == a.address })
			if a.err == nil && a.cluster != "" {
				return a.cluster, nil
			}
			if a.tries%joinTriesPerLogLine == 0 {
				s.log.Info("Waiting for a replica of the control group to answer.", "asked", a.address, "err", a.err)
			}
			if more {
				return "", nil
			}
		case <-end.C:
			return "", nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}
