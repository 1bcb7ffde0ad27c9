package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/consensus"
)

// obstacleLogInterval is the shortest time between two log lines on the same obstacle to an
// election. A line says how often it was met since the line before.
const obstacleLogInterval = time.Second

var (
	votesRefusedOlderLog = metrics.NewCounter("apricotstream_votes_refused_older_log_total")
	heartbeatsStale      = metrics.NewCounter("apricotstream_heartbeats_stale_total")
)

// obstacleLog bounds the log lines on one obstacle to an election.
type obstacleLog struct {
	logged   int           // count at the newest line
	loggedAt time.Duration // boot clock; 0: no line yet
}

// obstacleLogs are those of one replica.
type obstacleLogs struct{ olderLogRefusals, staleHeartbeats obstacleLog }

// due returns how often the obstacle was met since the newest line if a line is due, or 0.
func (l *obstacleLog) due(count int, now time.Duration) int {
	if count < l.logged {
		l.logged = 0 // the folder was opened again
	}
	if count == l.logged || l.loggedAt != 0 && now < l.loggedAt+obstacleLogInterval {
		return 0
	}
	added := count - l.logged
	l.logged, l.loggedAt = count, now
	return added
}

// logElectionObstacles logs what may delay the election of a leader: a request for votes that
// this replica refuses because its own log is newer, so that only its own election can succeed,
// and heartbeats that waited while this replica did not run.
func (r *Replica) logElectionObstacles(st *consensus.Status) {
	now := clock.Now()
	if k := r.obstacles.olderLogRefusals.due(st.OlderLogRefusals.Count, now); k > 0 {
		votesRefusedOlderLog.Add(k)
		o := st.OlderLogRefusals
		r.log.Warn("Votes refused: the log of this replica is newer.", "id", st.ID, "refused", k, "candidate", o.From, "pre_vote", o.PreVote,
			"candidate_last", o.Index, "candidate_last_term", o.LogTerm, "last", st.LastIndex, "term", st.Term, "role", roleNames[st.Role], "up_ms", r.upMs())
	}
	if k := r.obstacles.staleHeartbeats.due(st.StaleHeartbeats.Count, now); k > 0 {
		heartbeatsStale.Add(k)
		h := st.StaleHeartbeats
		r.log.Warn("Received heartbeats that waited while this replica did not run.", "id", st.ID, "received", k, "leader", h.From, "age_ms", h.Age.Milliseconds(),
			"last", st.LastIndex, "term", st.Term, "role", roleNames[st.Role], "up_ms", r.upMs())
	}
}
