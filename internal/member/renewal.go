package member

import "github.com/charmbracelet/log"

// LogRenewal logs that this daemon has renewed its description because another daemon knew
// a later one. Until then it was missing there.
func LogRenewal(logger *log.Logger, known, renewed Daemon) {
	logger.Warn("Other daemons knew a later description of this one; renewed it.", "known_incarnation", known.Incarnation, "known_epoch", known.Epoch,
		"known_seq", known.Seq, "incarnation", renewed.Incarnation, "epoch", renewed.Epoch, "seq", renewed.Seq)
}
