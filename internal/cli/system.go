package cli

import (
	"fmt"
	"net/http"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/telemetry"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

type statusCommand struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s gateway.StatusBody
	if err := c.do(http.MethodGet, "/admin/v1/status", nil, &s); err != nil {
		return err
	}
	return c.print(c.o.out, s, func() {
		fmt.Fprintf(c.o.out, "entry %s, zone %s, fresh %v, configuration %d, %d upstreams\n", s.Daemon, s.Zone, s.Fresh, s.ConfigVersion, s.Upstreams)
		if s.Group == nil {
			fmt.Fprintf(c.o.out, "control group: %s\n", s.GroupError)
		} else {
			c.printGroup(*s.Group)
		}
		for _, d := range s.Daemons {
			fmt.Fprintf(c.o.out, "daemon %-16s %-12s %-21s fresh %v draining %v in flight %d\n", d.ID, d.Zone, d.CallerAddress, d.Fresh, d.Draining, d.InFlight)
		}
	})
}

func (c *statusCommand) printGroup(g control.MembersReply) {
	fmt.Fprintf(c.o.out, "control group: leader %s, fencing token %d, committed %d\n", g.Leader, g.Term, g.Commit)
	for _, id := range g.Members.IDs() {
		m := g.Members[id]
		fmt.Fprintf(c.o.out, "replica %-24s %-12s %-21s voter %v, durable to %d\n", id, m.Zone, m.Address, m.Voter, g.Match[id])
	}
}

type entriesCommand struct {
	o *options
	entryClient
	Zone string `long:"zone" value-name:"ZONE" description:"availability zone of the caller"`
}

// entryList is the response of /v1/entries.
type entryList struct {
	Entries []struct {
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"entries"`
	TTLMS int64 `json:"ttl_ms"`
}

// Execute implements flags.Commander.
func (c *entriesCommand) Execute([]string) error {
	var out entryList
	if err := c.do(http.MethodGet, "/v1/entries?zone="+c.Zone, nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, e := range out.Entries {
			fmt.Fprintf(c.o.out, "%s %s\n", e.Address, e.Zone)
		}
	})
}

func memberCommands(o *options) []subcommand {
	return []subcommand{
		{"list", "List the replicas", "", &memberList{o: o}},
		{"add", "Add a replica as a learner, or make a learner a voter", "--id entry-2.1f0c9a3e --address 10.0.2.1:7070 --zone zone-b", &memberAdd{o: o}},
		{"remove", "Remove a replica", "--id entry-2", &memberRemove{o: o}},
	}
}

type memberList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *memberList) Execute([]string) error {
	return c.changeMembers(c.o, control.MembersRequest{})
}

// changeMembers sends a membership request and prints the resulting membership.
func (c *entryClient) changeMembers(o *options, q control.MembersRequest) error {
	var out control.MembersReply
	if err := c.doJSON(http.MethodPost, "/admin/v1/members", q, &out); err != nil {
		return err
	}
	return c.print(o.out, out, func() { (&statusCommand{o: o}).printGroup(out) })
}

type memberAdd struct {
	o *options
	entryClient
	ID      string `long:"id" required:"true" description:"identity, as join printed it"`
	Address string `long:"address" required:"true" value-name:"IP:PORT" description:"peer address"`
	Zone    string `long:"zone" required:"true" description:"availability zone"`
	Voter   bool   `long:"voter" description:"make it a voter; it must have caught up as a learner"`
}

// Execute implements flags.Commander.
func (c *memberAdd) Execute([]string) error {
	m := consensus.Member{ID: consensus.ID(c.ID), Address: c.Address, Zone: c.Zone, Voter: c.Voter}
	return c.changeMembers(c.o, control.MembersRequest{Add: &m})
}

type memberRemove struct {
	o *options
	entryClient
	ID string `long:"id" required:"true" description:"identity of the replica"`
}

// Execute implements flags.Commander.
func (c *memberRemove) Execute([]string) error {
	if c.ID == "" {
		return result.New(result.SettingInvalid, "--id is empty")
	}
	return c.changeMembers(c.o, control.MembersRequest{Remove: consensus.ID(c.ID)})
}

func upstreamCommands(o *options) []subcommand {
	return []subcommand{{"list", "List the upstreams that announce themselves", "", &upstreamList{o: o}}}
}

type upstreamList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *upstreamList) Execute([]string) error {
	var out []upstream.Announcement
	if err := c.do(http.MethodGet, "/admin/v1/upstreams", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, u := range out {
			fmt.Fprintf(c.o.out, "%-20s %-16s %-12s %-8s %-21s version %d, %d running of %d\n", u.ID, u.Service, u.Zone, u.Class, u.Address, u.Version, u.Running, u.Concurrency)
		}
	})
}

func quarantineCommands(o *options) []subcommand {
	return []subcommand{
		{"list", "List suspected and quarantined requests", "", &quarantineList{o: o}},
		{"release", "Release a request from quarantine so that it can run again", "9f86d081884c7d65", &quarantineRelease{o: o}},
	}
}

type quarantineList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *quarantineList) Execute([]string) error {
	var out []quarantine.Record
	if err := c.do(http.MethodGet, "/admin/v1/quarantine", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, r := range out {
			fmt.Fprintf(c.o.out, "%s since %s, crashed upstreams: %v\n", r.Fingerprint, r.Since.Format("15:04:05"), r.Upstreams)
		}
	})
}

type quarantineRelease struct {
	o *options
	entryClient
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *quarantineRelease) Execute([]string) error {
	return c.do(http.MethodDelete, "/admin/v1/quarantine/"+c.Args.Fingerprint, nil, nil)
}

type traceCommand struct {
	o *options
	entryClient
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It asks every entry, because only the entry that
// served the request has its spans.
func (c *traceCommand) Execute([]string) error {
	var all []telemetry.Span
	for _, e := range c.Entry {
		one := entryClient{Entry: []string{e}, KeyFile: c.KeyFile}
		var out []telemetry.Span
		if err := one.do(http.MethodGet, "/admin/v1/traces/"+c.Args.Request, nil, &out); err == nil {
			all = append(all, out...)
		}
	}
	if len(all) == 0 {
		return result.New(result.NotFound, "no entry has spans of request %s", c.Args.Request)
	}
	return c.print(c.o.out, all, func() {
		for _, s := range all {
			fmt.Fprintf(c.o.out, "trace %s span %s parent %-16s %-10s %8.2f ms %v\n", s.Trace[:8], s.Span, s.Parent, s.Name, float64(s.Duration.Microseconds())/1000, s.Attrs)
		}
	})
}
