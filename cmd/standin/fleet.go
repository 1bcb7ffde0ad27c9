package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// fleetCommand runs many upstreams in one process.
type fleetCommand struct {
	standin.Options
	Count int      `long:"count" default:"3" description:"upstreams, their zones in turn"`
	Zones []string `long:"in" description:"availability zones"`
	Plain bool     `long:"plain" description:"plain services instead of engines"`
}

// Execute implements flags.Commander. The options apply to every upstream. A number is
// added to the id, and the port of the address is increased by one for each upstream.
func (c *fleetCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	host, port, _ := strings.Cut(c.Address, ":")
	first, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	if len(c.Zones) == 0 {
		c.Zones = []string{c.Zone}
	}
	var wg sync.WaitGroup
	errs := make(chan error, c.Count)
	for i := range c.Count {
		o := c.Options
		o.ID = fmt.Sprintf("%s-%d", c.ID, i+1)
		o.Address = fmt.Sprintf("%s:%d", host, first+i)
		o.Zone = c.Zones[i%len(c.Zones)]
		wg.Go(func() {
			u := standin.NewUpstream(o)
			errs <- u.Serve(ctx, c.handler(u))
		})
	}
	wg.Wait()
	return <-errs
}

// handler returns the handler of a fake engine or plain service.
func (c *fleetCommand) handler(u *standin.Upstream) http.Handler {
	if c.Plain {
		return standin.Plain{Upstream: u}.Handler()
	}
	return standin.Engine{Upstream: u}.Handler()
}
