// Command review-2 runs the cases of the second review. Its first argument is the name of the case,
// its second the folder of the case.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	status, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		status = failed
	}
	os.Exit(status)
}
