package batch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
)

const (
	// collectTimeout bounds the wait of a new leader for the output of carried runs.
	collectTimeout = 400 * time.Millisecond
	// endWait bounds the wait of a carrier for the end of runs that it has cancelled. The rest of
	// collectTimeout is for the answer.
	endWait = 300 * time.Millisecond
	// collectCallTimeout is longer than collectTimeout, because a call that ends without a reply may
	// end its connection, which other calls use.
	collectCallTimeout = time.Second
	// maxCollectedBytes bounds the output that a new leader gets from all carriers. It is half of
	// what its attempts in flight may have.
	maxCollectedBytes = maxOutputMemory / 2
)

var (
	collectCalls    = metrics.NewCounter(`apricotstream_collect_calls_total{outcome="answered"}`)
	collectFailures = metrics.NewCounter(`apricotstream_collect_calls_total{outcome="failed"}`)
	collectLate     = metrics.NewCounter(`apricotstream_collect_calls_total{outcome="late"}`)
	collectedEvents = metrics.NewCounter("apricotstream_collected_events_total")
	collectedTexts  = metrics.NewCounter("apricotstream_collected_complete_texts_total")
	retainedEvicted = metrics.NewCounter("apricotstream_retained_runs_evicted_total")
)

// collect ends the runs of earlier terms and returns the retained output.
func (c *Carrier) collect(ctx context.Context, q CollectRequest) (CollectReply, error) {
	began := clock.Now()
	c.mu.Lock()
	ok, ended := c.permits.learn(q.Term)
	c.cancelRuns(ended, "another leader has taken over")
	var ending []*carriedRun
	for _, r := range c.runs {
		if r.term < q.Term {
			ending = append(ending, r)
		}
	}
	highest := c.permits.term
	c.mu.Unlock()
	if !ok {
		c.log.Warn("Output refused to the leader of an earlier term.", "leader", q.Leader, "term", q.Term, "highest_term", highest)
		return CollectReply{}, result.New(result.Stopped, "a later term is known")
	}
	inFlight := awaitEnd(ctx, ending)
	var reply CollectReply
	var runs, bytes, evicted, events int
	c.retain(func(r *retention) {
		r.expire(clock.Now())
		reply.Outputs = r.outputs(q.Jobs, q.MaxBytes)
		runs, bytes, evicted = len(r.runs), r.bytes, r.evicted
	})
	for _, o := range reply.Outputs {
		events += len(o.Events)
	}
	c.log.Info("Retained output given to a new leader.", "leader", q.Leader, "term", q.Term, "ended", len(ending)-inFlight, "in_flight", inFlight, "runs", len(reply.Outputs), "events", events,
		"retained_runs", runs, "retained_bytes", bytes, "evicted", evicted, "ms", (clock.Now() - began).Milliseconds())
	return reply, nil
}

// awaitEnd waits until all runs have ended, endWait at most, and returns the number of those that have not.
func awaitEnd(ctx context.Context, runs []*carriedRun) (inFlight int) {
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	for i, r := range runs {
		select {
		case <-r.done:
		case <-ctx.Done():
			for _, r := range runs[i:] {
				select {
				case <-r.done:
				default:
					inFlight++
				}
			}
			return inFlight
		}
	}
	return 0
}

// retain runs f on the retained output and counts what it evicts.
func (c *Carrier) retain(f func(*retention)) {
	c.retainedMu.Lock()
	defer c.retainedMu.Unlock()
	before := c.retained.evicted
	f(c.retained)
	retainedEvicted.Add(c.retained.evicted - before)
}

// Collection is the output that a new leader got from carriers.
type Collection struct {
	Asked, Answered int      // carriers
	Missing         []string // addresses of carriers without an answer, with the reason
	Outputs         []RetainedOutput
}

// Collect gets the output that carriers retain of runs of the given batch jobs. It returns once all have
// answered, after collectTimeout at the latest. Later answers are dropped.
func (c *Carriers) Collect(ctx context.Context, term uint64, jobs []string) Collection {
	addresses := c.place.Carriers()
	out := Collection{Asked: len(addresses)}
	if len(addresses) == 0 {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	callCtx, cancelCalls := context.WithTimeout(context.WithoutCancel(ctx), collectCallTimeout)
	q := CollectRequest{Term: term, Leader: c.self, Jobs: jobs, MaxBytes: maxCollectedBytes / len(addresses)}
	type answer struct {
		address string
		reply   CollectReply
		err     error
	}
	answers := make(chan answer, len(addresses))
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			reply, err := peer.Call[CollectReply](callCtx, c.client, address, MethodCollect, q)
			answers <- answer{address, reply, err}
		})
	}
	go func() { calls.Wait(); cancelCalls() }()
	late := map[string]bool{}
	for _, address := range addresses {
		late[address] = true
	}
	for range addresses {
		select {
		case a := <-answers:
			delete(late, a.address)
			if a.err != nil {
				collectFailures.Inc()
				out.Missing = append(out.Missing, a.address+": "+a.err.Error())
				continue
			}
			collectCalls.Inc()
			out.Answered++
			out.Outputs = append(out.Outputs, a.reply.Outputs...)
			continue
		case <-ctx.Done():
		}
		break
	}
	collectLate.Add(len(late))
	for address := range late {
		out.Missing = append(out.Missing, address+": no answer in time")
	}
	return out
}
