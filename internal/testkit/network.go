package testkit

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

const (
	firstNetwork = 2   // 127.2.0.0/16; 127.0.0.0/16 belongs to servers on any free port
	networks     = 250 // up to 127.251.0.0/16

	// lockPort is held while a network is reserved. Like all fixed ports of the tests it
	// lies below the ports that the kernel gives to outgoing connections.
	lockPort = 7469
)

// ReserveNetwork reserves a part of the loopback addresses, 127.N.0.0/16, until release is
// called or the process ends, and returns its prefix 127.N. No other test that reserves a
// network gets the same one, in whatever process, so any fixed port below the ephemeral
// ports is free on all of its addresses.
func ReserveNetwork() (prefix string, release func(), err error) {
	for i := range networks {
		prefix = fmt.Sprint("127.", firstNetwork+(os.Getpid()+i)%networks)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", prefix, lockPort))
		if err == nil {
			return prefix, func() { l.Close() }, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", nil, err
		}
	}
	return "", nil, errors.New("all loopback networks are reserved")
}
