package control

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// maxLoggedAbsences bounds the log lines of one process about voters for which it answers.
const maxLoggedAbsences = 16

var absenceAnswers = metrics.NewCounter("apricotstream_absence_answers_total")

// Absence answers the early election of a group that restarts, while this process waits to
// join it with an empty data folder: the voter at this address is absent, because its disk is
// lost. The process does not know its cluster yet. An answer is true in any cluster, because
// the process holds no replica at all, and returns the cluster of the question.
type Absence struct {
	client  *peer.Client
	address string // own peer address
	run     uint32 // random; identifies this run of the process
	log     *log.Logger
	vacant  bool        // the data folder had neither an identity nor a log
	joins   atomic.Bool // the process will not create the replica for which it answers

	mu     sync.Mutex
	logged map[consensus.ID]bool
}

// NewAbsence looks at the data folder dir, and returns an Absence that answers only if the
// folder has neither an identity nor a log, and only after Begin. It must be created once in a
// process, before which no replica has run.
func NewAbsence(dir, address string, client *peer.Client, logger *log.Logger) *Absence {
	return &Absence{
		client: client, address: address, run: rand.Uint32(), log: logger,
		vacant: storage.CheckVacant(dir) == nil, logged: map[consensus.ID]bool{},
	}
}

// Begin lets the process answer. From then on it must join the group: it must not open an older
// folder, and not found the group again with the replica that it has denied.
func (a *Absence) Begin() { a.joins.Store(true) }

// Begun reports whether Begin has been called.
func (a *Absence) Begun() bool { return a.joins.Load() }

// Register answers the replicas that send messages to s.
func (a *Absence) Register(s *peer.Server) {
	peer.HandleRawNotice(s, MethodStep, func(raw json.RawMessage) {
		if n, err := decodeStepNotice(raw); err == nil {
			a.answer(n)
		}
	})
}

func (a *Absence) answer(n StepNotice) {
	reply, ok := consensus.AbsentReply(a.run, n.Message)
	if !ok || !a.vacant || !a.Begun() || n.Cluster == "" || n.Address == "" {
		return
	}
	absenceAnswers.Inc()
	if a.isFirst(reply.From) {
		a.log.Info("Answering that a voter is absent: this process waits to join with an empty data folder.",
			"absent", reply.From, "asked_by", n.Message.From, "cluster", n.Cluster, "run", a.run)
	}
	a.client.Notify(n.Address, MethodStep, StepNotice{Cluster: n.Cluster, Address: a.address, Message: reply})
}

// isFirst reports whether id is to be logged.
func (a *Absence) isFirst(id consensus.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.logged[id] || len(a.logged) == maxLoggedAbsences {
		return false
	}
	a.logged[id] = true
	return true
}
