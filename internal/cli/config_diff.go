package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/apricotstream/apricotstream/internal/configcheck"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/platform"
)

type configDiff struct {
	o       *options
	JSON    bool   `long:"json" description:"print JSON"`
	Against string `long:"against" value-name:"FILE2" description:"the document to compare with"`
	Control string `long:"control" value-name:"ADDRESS" description:"control address of a replica, IP:PORT; compares with the configuration in force"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"configuration document as operators send it"`
	} `positional-args:"true"`
}

// diffReport is what config diff prints.
type diffReport struct {
	OldVersion uint64               `json:"old_version"`
	NewVersion uint64               `json:"new_version"`
	Superseded bool                 `json:"superseded"` // daemons would keep the configuration in force
	Changes    []configcheck.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *configDiff) Execute([]string) error {
	if (c.Against == "") == (c.Control == "") {
		return unread(result.New(result.SettingInvalid, "give either --against or --control"))
	}
	before, err := c.base()
	if err != nil {
		return unread(err)
	}
	after, err := readConfiguration(c.Args.File)
	if err != nil {
		return unread(err)
	}
	r := diffReport{before.Version, after.Version, false, configcheck.Diff(before, after)}
	r.Superseded = c.Control != "" && len(r.Changes) > 0 && configcheck.Superseded(before, after)
	if r.Changes == nil {
		r.Changes = []configcheck.Change{}
	}
	if err := (&entryClient{JSON: c.JSON}).print(c.o.out, r, func() { r.write(c.o.out) }); err != nil {
		return unread(err)
	}
	if len(r.Changes) > 0 {
		return exitError{code: exitConfigFault}
	}
	return nil
}

// base returns the configuration to compare with.
func (c *configDiff) base() (*routing.Configuration, error) {
	if c.Against != "" {
		return readConfiguration(c.Against)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	b, err := platform.FetchConfiguration(ctx, c.Control)
	if err != nil {
		return nil, err
	}
	return decodeConfiguration("the configuration in force", b)
}

func readConfiguration(file string) (*routing.Configuration, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.SettingInvalid, "%v", err)
	}
	return decodeConfiguration(file, b)
}

func decodeConfiguration(name string, b []byte) (*routing.Configuration, error) {
	d := platform.DecodeConfiguration(b)
	if err := d.Err(); err != nil {
		return nil, result.New(result.CodeOf(err), "%s: %s", name, result.From(err).Message)
	}
	return d.Configuration, nil
}

func (r diffReport) write(w io.Writer) {
	fmt.Fprintf(w, "version %d -> %d\n", r.OldVersion, r.NewVersion)
	if r.Superseded {
		fmt.Fprintf(w, "warning: daemons would keep version %d, because version %d is not above it; raise the version\n", r.OldVersion, r.NewVersion)
	}
	for _, c := range r.Changes {
		title := c.Item
		if c.Name != "" {
			title += " " + printable(c.Name)
		}
		fmt.Fprintf(w, "%s %s\n", title, c.Kind)
		for _, f := range c.Fields {
			fmt.Fprintln(w, "    "+fieldText(c.Kind, f))
		}
	}
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
}

func fieldText(kind configcheck.Kind, f configcheck.FieldChange) string {
	switch {
	case f.Secret && kind == configcheck.Changed:
		return f.Field + " differ"
	case f.Secret:
		return f.Field + " not shown"
	case kind == configcheck.Changed:
		return fmt.Sprintf("%s: %s -> %s", f.Field, printable(cmp.Or(f.Old, "not set")), printable(cmp.Or(f.New, "not set")))
	}
	return f.Field + ": " + printable(f.Old+f.New)
}
