package fenced

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/result"
)

// watchdog is a kernel timer that kills the process unless it is disarmed in time. It also
// fires while the process is stopped or gets no CPU time, before any thread of the
// process continues.
type watchdog struct {
	id int32
}

// sigevent is the kernel's struct sigevent.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	_      [48]byte
}

const (
	sigevSignal   = 0 // SIGEV_SIGNAL
	timerAbsolute = 1 // TIMER_ABSTIME
)

// armWatchdog starts a watchdog that fires at limit. It returns Fenced if limit has passed.
// The remaining time is computed after the kernel clock is read, so a pause between the
// two only makes the watchdog fire earlier.
func armWatchdog(limit time.Time) (watchdog, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return watchdog{}, err
	}
	left := time.Until(limit)
	if left <= 0 {
		return watchdog{}, result.New(result.Fenced, "the leader's lease has ended")
	}
	at := now.Nano() + left.Nanoseconds()
	w := watchdog{}
	ev := sigevent{signo: int32(unix.SIGKILL), notify: sigevSignal}
	_, _, e := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_MONOTONIC, uintptr(unsafe.Pointer(&ev)), uintptr(unsafe.Pointer(&w.id)))
	if e != 0 {
		return w, e
	}
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(at)}
	_, _, e = unix.Syscall6(unix.SYS_TIMER_SETTIME, uintptr(w.id), timerAbsolute, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	if e != 0 {
		w.disarm()
		return w, e
	}
	return w, nil
}

// disarm deletes the timer.
func (w watchdog) disarm() {
	_, _, _ = unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(w.id), 0, 0)
}
