package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// maxListedReplicas bounds the replicas that a log line lists.
const maxListedReplicas = 12

var (
	membershipRepairsWaiting = metrics.NewGauge("apricotstream_membership_repairs_waiting", nil)
	replicasOutside          = metrics.NewGauge("apricotstream_replicas_outside", nil)
)

// repairWait is a change of the membership that waits, other than for the successor of a lost vote
// (see logLostVotes).
type repairWait struct {
	key    string // identifies the repair in consecutive views
	repair string
	inputs []any // keys and values of what the repair depends on
	normal bool  // no member is missing
}

// waits returns the repairs that wait, in a constant order.
func (v MembershipView) waits() []repairWait {
	var out []repairWait
	if outside := v.outside(); len(outside) > 0 {
		silent := v.silentTimes()
		out = append(out, repairWait{"outside", "running replicas are not members", []any{
			"replicas", bounded(outside), "members", len(v.Members), "max_members", v.MaxMembers, "running", v.running(), "repair_members", v.repairMembers(), "silent", bounded(silent),
		}, len(silent) == 0})
	}
	healthy, lost := 0, 0
	var gone []consensus.ID
	for _, id := range v.Members.IDs() {
		switch {
		case !v.Members.IsVoter(id):
		case !v.shouldLeave(id):
			healthy++
		case v.lost(id):
			lost++
		default:
			gone = append(gone, id)
		}
	}
	if healthy < v.Voters && !v.hasSuccessor() {
		inputs := []any{"healthy_voters", healthy, "wanted", v.Voters, "must_hold", v.RecentCommit, "learners", bounded(v.learners())}
		for _, id := range gone {
			out = append(out, repairWait{
				"voter " + string(id), "a voter is to be replaced and no learner has caught up",
				append([]any{"voter", id, "silent_ms", v.SilentFor[id].Milliseconds(), "retiring", v.Retiring[id]}, inputs...), false,
			})
		}
		if len(gone) == 0 && healthy+lost < v.Voters {
			out = append(out, repairWait{"voters", "too few voters and no learner has caught up", inputs, false})
		}
	}
	if n := v.Members.Voters(); n > v.Voters {
		notRunning := slices.DeleteFunc(v.Members.IDs(), func(id consensus.ID) bool { return !v.Members.IsVoter(id) || id == v.Self || v.live(id) })
		out = append(out, repairWait{
			"surplus", "an additional voter is not demoted",
			[]any{"voters", n, "wanted", v.Voters, "not_running", bounded(notRunning), "silent", bounded(v.silentTimes())},
			false,
		})
	}
	return out
}

// outside lists the running replicas that are not members and don't succeed one at its address.
func (v MembershipView) outside() []consensus.ID {
	var out []consensus.ID
	for _, m := range v.Live {
		if _, ok := v.Members[m.ID]; !ok && !v.Retiring[m.ID] && !v.Members.HasAddress(m.Address) {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}

// hasSuccessor reports whether a learner can become a voter now.
func (v MembershipView) hasSuccessor() bool {
	return slices.ContainsFunc(v.learnersWith(v.RecentCommit), func(m consensus.Member) bool { return !v.Retiring[m.ID] })
}

// silentTimes lists the members that have been silent for voterDeadAfter, and for how long.
func (v MembershipView) silentTimes() []string {
	var out []string
	for _, id := range v.Members.IDs() {
		if d := v.SilentFor[id]; d > voterDeadAfter {
			out = append(out, fmt.Sprintf("%s for %s", id, seconds(d)))
		}
	}
	return out
}

// learners lists the learners with what keeps each from becoming a voter.
func (v MembershipView) learners() []string {
	var out []string
	for _, id := range v.Members.IDs() {
		if v.Members.IsVoter(id) {
			continue
		}
		holds, answers := v.Match[id]
		out = append(out, fmt.Sprintf("%s holds %d, answers %t, runs %t, retires %t", id, holds, answers, v.live(id), v.Retiring[id]))
	}
	return out
}

func bounded[T any](xs []T) []T { return xs[:min(len(xs), maxListedReplicas)] }

// logWaits logs the repairs that wait, at doubling intervals, and when one that was logged no
// longer does. leads is false on a replica that does not hold the leader lease.
func (d *membershipDelays) logWaits(now time.Time, leads bool, v MembershipView, logger *log.Logger) {
	var current []repairWait
	outside := 0
	if leads {
		current, outside = v.waits(), len(v.outside())
	}
	membershipRepairsWaiting.Set(float64(len(current)))
	replicasOutside.Set(float64(outside))
	waiting := map[string]*membershipDelay{}
	for _, w := range current {
		delay := d.waits[w.key]
		if delay == nil {
			delay = &membershipDelay{since: now}
		}
		waiting[w.key] = delay
		took, due := delay.due(now)
		if !due {
			continue
		}
		level := log.WarnLevel
		if w.normal {
			level = log.InfoLevel
		}
		logger.Log(level, "Repair of the membership waits.", append([]any{"repair", w.repair, "ms", took.Milliseconds()}, w.inputs...)...)
	}
	for key, delay := range d.waits {
		if waiting[key] == nil && delay.logged != 0 && leads {
			logger.Info("Repair of the membership no longer waits.", "repair", key, "ms", now.Sub(delay.since).Milliseconds())
		}
	}
	d.waits = waiting
}
