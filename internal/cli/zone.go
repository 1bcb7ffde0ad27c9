package cli

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/state"
)

func zoneCommands(o *options) []subcommand {
	return []subcommand{
		{"evacuate", "Send nothing more to the upstreams of a zone", "zone-a", &zoneEvacuate{zoneCommand{o: o}}},
		{"restore", "Use the upstreams of an evacuated zone again", "zone-a", &zoneRestore{zoneCommand{o: o}}},
		{"list", "List the evacuated zones", "", &zoneList{o: o}},
	}
}

type zoneCommand struct {
	o *options
	entryClient
	Args struct {
		Zone string `positional-arg-name:"ZONE" required:"true"`
	} `positional-args:"true"`
}

// run sends the request that sets or ends the evacuation of the zone.
func (c *zoneCommand) run(method, done string) error {
	if err := state.CheckZone(c.Args.Zone); err != nil {
		return err
	}
	var out state.Outcome
	if err := c.do(method, "/v1/zones/"+url.PathEscape(c.Args.Zone)+"/evacuation", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprintf(c.o.out, "zone %s %s\n", c.Args.Zone, done) })
}

type zoneEvacuate struct{ zoneCommand }

// Execute implements flags.Commander.
func (c *zoneEvacuate) Execute([]string) error { return c.run(http.MethodPut, "evacuated") }

type zoneRestore struct{ zoneCommand }

// Execute implements flags.Commander.
func (c *zoneRestore) Execute([]string) error { return c.run(http.MethodDelete, "restored") }

type zoneList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *zoneList) Execute([]string) error {
	var out []gateway.EvacuationBody
	if err := c.do(http.MethodGet, "/v1/evacuations", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, e := range out {
			fmt.Fprintf(c.o.out, "%s evacuated, %d upstreams get nothing\n", e.Zone, e.Upstreams)
		}
	})
}
