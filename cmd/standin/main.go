// Command standin runs fakes of the systems around apricotstream and the callers that the
// demo uses. It is not part of the product.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	_, err := p.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// command is a subcommand. data holds its options and its Execute method.
type command struct {
	name, short string
	data        any
}

func commands() []command {
	return []command{
		{"engine", "Run a model engine", &engineCommand{}},
		{"plain", "Run a plain service", &plainCommand{}},
		{"platform", "Run the platform that accepts orders for upstreams", &platformCommand{}},
		{"usage", "Run the receiver of usage reports", &usageCommand{}},
		{"store", "Run the weight store", &storeCommand{}},
		{"scoring", "Run the scoring service", &scoringCommand{}},
		{"complete", "Request a completion as a caller", &completeCommand{}},
		{"call", "Send a request as a caller", &callCommand{}},
		{"publish", "Publish a weight version as a trainer", &publishCommand{}},
		{"show", "Fetch a URL and print its body", &showCommand{}},
		{"cost", "Simulate one day of the capacity planner and print its cost", &costCommand{}},
		{"train", "Run a step as a trainer", &trainCommand{}},
		{"fleet", "Run many upstreams in one process", &fleetCommand{}},
		{"overhead", "Compare requests through an entry with direct requests", &overheadCommand{}},
		{"load", "Send the requests of several client accounts in an open loop", &loadCommand{}},
	}
}
