package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/platform"
)

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitNotRun  = 1 // nothing was changed
	ExitUsage   = 2 // the command line or a file is invalid
	ExitUnknown = 3 // the change may or may not have been made
)

// options holds what all commands share.
type options struct {
	out io.Writer
}

// Run executes the command line args, writes to out and errOut, and returns the exit
// code.
func Run(args []string, out, errOut io.Writer) int {
	o := &options{out: out}
	p := flags.NewNamedParser("apricotstream", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Rollout service for reinforcement learning"
	p.LongDescription = "Serves callers, trainers and operators of a rollout system. Start with `apricotstream init`, then `apricotstream serve` on every VM."
	if err := addCommands(p, o); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	p.CommandHandler = execute
	_, err := p.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	var ee exitError
	if errors.As(err, &ee) {
		if ee.err != nil {
			reportError(errOut, ee.err)
		}
		return ee.code
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(out, fe.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, fe.Message)
		if p.Active != nil && p.Active.Name == groupConfig { // there, ExitUsage stands for warnings
			return exitConfigUnread
		}
		return ExitUsage
	}
	return reportError(errOut, err)
}

// execute runs a command. It returns a usage error when arguments are left over.
func execute(c flags.Commander, rest []string) error {
	if c == nil {
		return nil
	}
	if len(rest) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q; see --help of the command", rest[0])}
	}
	return c.Execute(nil)
}

// reportError writes err with its code, class and advice, and returns the exit code.
func reportError(w io.Writer, err error) int {
	e := result.From(err)
	i := e.Code.Info()
	fmt.Fprintf(w, "error %d %s (%s): %s\n%s\n", e.Code, i.Name, i.Class, e.Message, i.Advice)
	switch {
	case e.Code >= result.SettingUnknown && e.Code <= result.DocumentInvalid:
		return ExitUsage
	case i.Class == result.NotRun:
		return ExitNotRun
	}
	return ExitUnknown
}

func addCommands(p *flags.Parser, o *options) error {
	list := []struct {
		name, short, long string
		data              any
	}{
		{"init", "Create the data folder of a first voter", "Run it once on each of the first voters, with the same --voter options and operator key. Example:\n  apricotstream init --config entry-1.ini --operator-key-file operator.key --voter entry-1=10.0.1.1:7070@zone-a --voter ...", &initCommand{o: o}},
		{"join", "Create the data folder of a replica that joins a running group", "The new replica starts as a learner. Add it with `apricotstream member add`.", &joinCommand{o: o}},
		{"serve", "Run the daemon", "Example:\n  apricotstream serve --config entry-1.ini", &serveCommand{o: o}},
		{"platform", "Run a daemon on a platform where operators replace all routes in one call", "Example:\n  apricotstream platform --config entry.ini", &platform.Command{Out: o.out}},
		{"check", "Check settings and service documents without a daemon", "Example:\n  apricotstream check --config entry-1.ini --service hint-model.ini", &checkCommand{o: o}},
		{"status", "Show the system as an entry sees it", "Example:\n  apricotstream status --entry 10.0.1.1:8080 --key-file operator.key", &statusCommand{o: o}},
		{"entries", "List the addresses that callers should use", "Example:\n  apricotstream entries --entry 10.0.1.1:8080 --zone zone-a", &entriesCommand{o: o}},
		{"trace", "Show the spans of a request", "Every response carries the request id as X-Request-Id. Example:\n  apricotstream trace 3f0c...", &traceCommand{o: o}},
		{"explain", "Show what happened to a request, batch job or item from log files", "Prints the log lines with the id, the lines of the requests that were sent for it, and the state changes around these lines. Example:\n  apricotstream explain 3f0c... /var/log/apricotstream/*.log", &explainCommand{o: o}},
		{"codes", "List the numbered result codes", "Example:\n  apricotstream codes 213", &codesCommand{o: o}},
		{"reference", "Describe every key of settings or service documents", "Example:\n  apricotstream reference service", &referenceCommand{o: o}},
		{"completion", "Print the completion script for bash", "Example:\n  source <(apricotstream completion)", &completionCommand{o: o}},
		{"version", "Print the version", "", &versionCommand{o: o}},
	}
	for _, c := range list {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return addCommandGroups(p, o)
}

// addCommandGroups adds the commands that have subcommands.
func addCommandGroups(p *flags.Parser, o *options) error {
	groups := []struct {
		name, short string
		subs        []subcommand
	}{
		{"account", "Manage client accounts", accountCommands(o)},
		{"key", "Manage keys", keyCommands(o)},
		{"service", "Manage service documents", serviceCommands(o)},
		{groupConfig, "Check and compare configurations before they are sent", configCommands(o)},
		{"member", "Manage the control group", memberCommands(o)},
		{"upstream", "Look at upstreams", upstreamCommands(o)},
		{"zone", "Evacuate availability zones", zoneCommands(o)},
		{"quarantine", "Look at requests that crash upstreams", quarantineCommands(o)},
	}
	for _, g := range groups {
		c, err := p.AddCommand(g.name, g.short, "", &struct{}{})
		if err != nil {
			return err
		}
		for _, s := range g.subs {
			if _, err := c.AddCommand(s.name, s.short, "Example:\n  apricotstream "+g.name+" "+s.name+" "+s.example, s.data); err != nil {
				return err
			}
		}
	}
	return nil
}

// subcommand is a command of a command group.
type subcommand struct {
	name, short string
	example     string // arguments of the example in its help
	data        any
}

// Main runs the command line of this process and exits with the exit code of Run.
func Main() {
	os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
}
