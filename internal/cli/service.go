package cli

import (
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

func serviceCommands(o *options) []subcommand {
	return []subcommand{
		{"put", "Activate a service document", "hint-model.ini", &servicePut{o: o}},
		{"get", "Print a service document", "hint-model", &serviceGet{o: o}},
		{"list", "List service documents", "", &serviceList{o: o}},
		{"history", "List the accepted edits of a document", "hint-model", &serviceHistory{o: o}},
	}
}

type servicePut struct {
	o *options
	entryClient
	Version uint64 `long:"version" value-name:"N" description:"number of this edit; by default the current version plus one"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *servicePut) Execute([]string) error {
	b, err := os.ReadFile(c.Args.File)
	if err != nil {
		return result.New(result.SettingInvalid, "%v", err)
	}
	doc, err := document.Parse(c.Args.File, string(b))
	if err != nil {
		return err
	}
	if c.Version == 0 {
		if c.Version, err = c.nextVersion(doc.Name); err != nil {
			return err
		}
	}
	var out state.Outcome
	path := "/admin/v1/services/" + doc.Name + "?version=" + strconv.FormatUint(c.Version, 10)
	if err := c.do(http.MethodPut, path, b, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprintf(c.o.out, "service %s active, version %d\n", doc.Name, out.Version) })
}

// nextVersion returns the current version of the document of a service plus one, 1 for
// an unknown service.
func (c *servicePut) nextVersion(name string) (uint64, error) {
	var cur gateway.ServiceBody
	err := c.do(http.MethodGet, "/admin/v1/services/"+name, nil, &cur)
	if err != nil && result.CodeOf(err) != result.ServiceUnknown {
		return 0, err
	}
	return cur.Version + 1, nil
}

type serviceGet struct {
	o *options
	entryClient
	Args nameArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *serviceGet) Execute([]string) error {
	var out gateway.ServiceBody
	if err := c.do(http.MethodGet, "/admin/v1/services/"+c.Args.Name, nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprint(c.o.out, out.Text) })
}

type serviceList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *serviceList) Execute([]string) error {
	var out []gateway.ServiceBody
	if err := c.do(http.MethodGet, "/admin/v1/services", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, s := range out {
			fmt.Fprintf(c.o.out, "%-24s version %d\n", s.Name, s.Version)
		}
	})
}

type serviceHistory struct {
	o *options
	entryClient
	Args nameArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *serviceHistory) Execute([]string) error {
	var out []state.Edit
	if err := c.do(http.MethodGet, "/admin/v1/services/"+c.Args.Name+"/history", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, e := range out {
			fmt.Fprintf(c.o.out, "version %d  %s  %d bytes\n", e.Version, e.At.Format("2006-01-02 15:04:05"), len(e.Text))
		}
	})
}
