package cli

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"unicode"

	"github.com/apricotstream/apricotstream/internal/configcheck"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/platform"
)

// Exit codes of the commands of the group config.
const (
	exitConfigFault    = 1 // the configuration is rejected, or differs
	exitConfigWarnings = 2
	exitConfigUnread   = 3 // a configuration or the command line cannot be read
)

const groupConfig = "config"

func configCommands(o *options) []subcommand {
	return []subcommand{
		{"check", "Check a configuration document before it is sent", "routes.json\n\nExit code 0: no findings; 1: daemons reject the configuration; 2: warnings only; 3: the file cannot be read.", &configCheck{o: o}},
		{"diff", "List what a configuration document changes", "routes.json --control 10.0.1.1:9000\n\nExit code 0: no differences; 1: differences; 3: one of the two cannot be read. Keys are compared, but never printed.", &configDiff{o: o}},
	}
}

type configCheck struct {
	o        *options
	JSON     bool `long:"json" description:"print JSON"`
	MemoryMB int  `long:"memory-mb" value-name:"MB" description:"memory of the smallest entry, its setting memory_mb; limits are compared with it"`
	// Zones holds the region of each availability zone.
	Zones map[string]string `long:"zone" value-name:"ZONE:REGION" description:"region of an availability zone, as in the section [zones] of the settings; given once for each zone, home regions are compared with them"`
	Args  struct {
		File string `positional-arg-name:"FILE" required:"true" description:"configuration document as operators send it"`
	} `positional-args:"true"`
}

// foundAt is a finding with its path in the document.
type foundAt struct {
	configcheck.Finding
	Path string `json:"location"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	b, err := os.ReadFile(c.Args.File)
	if err != nil {
		return unread(result.New(result.SettingInvalid, "%v", err))
	}
	document := platform.DecodeConfiguration(b)
	bounds := platform.EntryBounds(c.MemoryMB)
	bounds.Zones = c.Zones
	findings := configcheck.Check(document.Configuration, document.Problems, bounds)
	list := []foundAt{}
	for _, f := range findings {
		list = append(list, foundAt{f, document.Path(f.Location)})
	}
	report := struct {
		File     string    `json:"file"`
		Findings []foundAt `json:"findings"`
	}{c.Args.File, list}
	err = (&entryClient{JSON: c.JSON}).print(c.o.out, report, func() { c.printText(list) })
	if err != nil {
		return unread(err)
	}
	switch configcheck.Worst(findings) {
	case configcheck.Error:
		return exitError{code: exitConfigFault}
	case configcheck.Warning:
		return exitError{code: exitConfigWarnings}
	}
	return nil
}

func (c *configCheck) printText(list []foundAt) {
	for _, f := range list {
		path := c.Args.File
		if f.Path != "" {
			path += ": " + f.Path
		}
		fmt.Fprintf(c.o.out, "%s: %s %s: %s\n", path, f.Severity, f.Code, printable(f.Message))
	}
	if len(list) == 0 {
		fmt.Fprintf(c.o.out, "%s: ok\n", c.Args.File)
	}
}

// printable returns s, quoted if it has characters that a terminal could obey.
func printable(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}

// exitError ends the command with an exit code of its own. err is reported unless it is nil.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d: %v", e.code, e.err) }

func unread(err error) error { return exitError{exitConfigUnread, err} }
