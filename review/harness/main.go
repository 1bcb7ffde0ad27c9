// Command case runs one of the review's scripts. Its exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// outcome of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTime  = 115 * time.Second
	recordAt = "record.txt"
)

// cases by name. trouble is false when the disruption is left out.
var cases = map[string]func(rec *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], recordAt))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := make(chan int, 1)
	go func() {
		n, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		if err != nil {
			rec.logf("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, "the case could not run:", err)
			n = notRun
		}
		code <- n
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n := notRun
	select {
	case n = <-code:
	case <-signals:
	case <-time.After(maxTime):
		rec.logf("the case took too long")
	}
	endAll()
	rec.logf("exit code %d", n)
	os.Exit(n)
}

var running []*fleet

// endAll ends the processes of all fleets.
func endAll() {
	for _, f := range running {
		f.close()
	}
}

// startFleet starts a deployment and the manifest, and waits until it is ready.
func startFleet(rec *record, fronts int, manifest string) (*fleet, error) {
	f, err := newFleet(rec, fronts)
	if err != nil {
		return nil, err
	}
	running = append(running, f)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.control("PUT", "/config", manifest, 30*time.Second); err != nil {
		return nil, err
	}
	return f, f.awaitReady(30 * time.Second)
}
