package control

import "github.com/apricotstream/apricotstream/internal/consensus"

// logRoleChange logs a change of role, term or leader.
func (r *Replica) logRoleChange(old, now *consensus.Status) {
	if old != nil && old.Role == now.Role && old.Term == now.Term && old.Leader == now.Leader {
		return
	}
	r.log.Info("Role in the control group.", "id", now.ID, "role", now.Role, "term", now.Term, "leader", now.Leader,
		"commit", now.Commit, "last", now.LastIndex, "voters", now.Members.Voters(), "members", len(now.Members))
}
