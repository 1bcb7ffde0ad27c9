package takeup

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Parameters of the search for a record.
const (
	// maxAsked is the number of replicas that are asked: the keepers, and those that became
	// or were keepers while replicas came and went.
	maxAsked = 5
	// findTimeout bounds the search. A caller waits for it.
	findTimeout = 250 * time.Millisecond
	// settlingTime is how long after its start a daemon may not know all replicas yet.
	settlingTime = 3 * time.Second
	// findRetryAfter is the delay that a caller is told when a keeper did not answer.
	findRetryAfter = 300 * time.Millisecond
)

// Find returns the origin of the stream that a request of an account began. Errors:
// OriginUnknown, with a time to return if the record may be found then.
func (k *Keeper) Find(ctx context.Context, account, request string) (origin.Origin, error) {
	key := KeyOf(account, request)
	now := time.Now()
	k.mu.Lock()
	r, ok := k.table.Get(now, key)
	k.mu.Unlock()
	source := "own"
	if !ok {
		source = "keeper"
		var complete bool
		if r, ok, complete = k.ask(ctx, key); !ok {
			return origin.Origin{}, k.notFound(request, complete)
		}
	}
	if k.doubtful(r) {
		r.ambiguous()
		k.mu.Lock()
		k.table.Add(r) // stays ambiguous
		k.mu.Unlock()
	}
	if r.Origin.Software == upstream.SoftwareUnknown {
		takeUps("ambiguous").Inc()
		return origin.Origin{}, result.New(result.OriginUnknown, "several software versions may have begun the stream")
	}
	takeUps(source).Inc()
	return r.Origin, nil
}

// notFound returns the error for a stream that no daemon knows. complete means that all
// replicas that may know it have answered.
func (k *Keeper) notFound(request string, complete bool) error {
	if complete && time.Since(k.started) >= settlingTime {
		takeUps("unknown").Inc()
		return result.New(result.OriginUnknown, "no stream of this account that request %.64s began is known", request)
	}
	takeUps("unanswered").Inc()
	return result.NewRetryAfter(result.OriginUnknown, findRetryAfter, "the daemons that may know the stream do not answer")
}

// ask asks the replicas that may keep a record. complete means that all of them have answered.
func (k *Keeper) ask(ctx context.Context, key Key) (r Record, found, complete bool) {
	replicas := ranked(key, k.deployment.Replicas())
	replicas = replicas[:min(maxAsked, len(replicas))]
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		keeper string
		reply  FindReply
		err    error
	}
	answers := make(chan answer, len(replicas))
	asked := 0
	for _, to := range replicas {
		if to.ID == k.deployment.Daemon {
			continue // its own table has no record
		}
		asked++
		go func() {
			reply, err := k.deployment.Ask(ctx, to.Address, FindRequest{Key: key[:]})
			answers <- answer{to.ID, reply, err}
		}()
	}
	complete = len(replicas) > 0
	for range asked {
		a := <-answers
		if a.err != nil {
			complete = false
			k.log.Warn("Keeper of a stream does not answer.", "keeper", a.keeper, "err", a.err.Error())
			continue
		}
		if a.reply.Record == nil {
			continue
		}
		if r, ok := a.reply.Record.received(time.Now()); ok && r.Key == key {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.table.Add(r), true, true
		}
	}
	return Record{}, false, complete
}
