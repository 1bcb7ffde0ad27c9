package daemon

import (
	"context"
	"time"
)

// stepHandoverTimeout bounds the transfer of all steps.
const stepHandoverTimeout = 15 * time.Second

// handOverSteps transfers the trainers' steps to other daemons that are fresh and not
// draining.
func (d *Daemon) handOverSteps() {
	var addresses []string
	for _, m := range d.gossip.Live() {
		if m.ID != d.cfg.ID && m.Fresh && !m.Draining {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepHandoverTimeout)
	defer cancel()
	for _, step := range d.gateway.Rollouts.HandOver(ctx, addresses) {
		d.log.Warn("No daemon accepted the step. Its trainer will open it again.", "step", step)
	}
}
