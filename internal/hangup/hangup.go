// Package hangup receives SIGHUP for daemons that read their settings again on it. It
// imports nothing but the standard library, so that it is initialised before the packages
// that take longer: until its handler is installed, SIGHUP ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// reloadingCommand is the command whose process must not end on SIGHUP.
const reloadingCommand = "platform"

var signals = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == reloadingCommand {
		Signals()
	}
}

// Signals installs the handler, unless it is installed, and returns the channel on which
// each SIGHUP arrives. Signals that nobody has received yet count as one. The handler
// stays until the process ends.
func Signals() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
