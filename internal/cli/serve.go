package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotstream/apricotstream/internal/daemon"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/heaplimit"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/settings"
	"github.com/apricotstream/apricotstream/internal/telemetry"
)

// Version of the program.
const Version = "0.1.0"

type serveCommand struct {
	o      *options
	Config string `long:"config" required:"true" value-name:"FILE" description:"settings of this daemon"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	cfg, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, flush := telemetry.StartLogger(os.Stdout, cfg.LogLevel)
	defer flush()
	governor := heaplimit.NewGovernor(int64(cfg.MemoryMB)<<20, logger)
	governor.Adjust() // before the data folder is read
	go governor.Run(ctx)
	d, err := daemon.New(ctx, cfg, logger)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

type checkCommand struct {
	o        *options
	Config   []string `long:"config" value-name:"FILE" description:"a settings file"`
	Services []string `long:"service" value-name:"FILE" description:"a service document"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	invalid := 0
	report := func(file string, err error) {
		if err == nil {
			fmt.Fprintf(c.o.out, "%s: ok\n", file)
			return
		}
		invalid++
		fmt.Fprintln(c.o.out, result.From(err).Message)
	}
	for _, f := range c.Config {
		_, err := settings.Load(f)
		report(f, err)
	}
	for _, f := range c.Services {
		b, err := os.ReadFile(f)
		if err == nil {
			_, err = document.Parse(f, string(b))
		}
		report(f, err)
	}
	if invalid > 0 {
		return result.New(result.SettingInvalid, "%d of %d files are invalid", invalid, len(c.Config)+len(c.Services))
	}
	return nil
}

type versionCommand struct{ o *options }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.o.out, "apricotstream", Version)
	return nil
}
