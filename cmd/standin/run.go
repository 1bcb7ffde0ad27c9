package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// engineCommand runs a fake model engine.
type engineCommand struct{ standin.Options }

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	u := standin.NewUpstream(c.Options)
	return u.Serve(ctx, standin.Engine{Upstream: u}.Handler())
}

// plainCommand runs a fake plain service.
type plainCommand struct{ standin.Options }

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	u := standin.NewUpstream(c.Options)
	return u.Serve(ctx, standin.Plain{Upstream: u}.Handler())
}

// platformCommand runs the fake platform.
type platformCommand struct {
	Address string   `long:"address" required:"true" description:"IP:port to listen on"`
	Host    string   `long:"host" required:"true" description:"IP of the upstreams it starts"`
	Entries []string `long:"entry" required:"true" description:"entries that the upstreams announce to"`
	Store   string   `long:"store" description:"URL of the weight store"`
	standin.Faults
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	o := standin.Options{Address: c.Host + ":0", Entries: c.Entries, Store: c.Store, Concurrency: 8, TokenTime: standin.DefaultTokenTime, Version: 1, Faults: c.Faults}
	return standin.Listen(ctx, c.Address, standin.NewPlatform(o).Handler())
}

// usageCommand runs the fake usage receiver.
type usageCommand struct {
	Address       string `long:"address" required:"true" description:"IP:port to listen on"`
	IgnoreFencing bool   `long:"ignore-fencing" description:"take reports with an old fencing number"`
}

// Execute implements flags.Commander.
func (c *usageCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	r := standin.NewReceiver()
	r.IgnoreFencing = c.IgnoreFencing
	return standin.Listen(ctx, c.Address, r.Handler())
}

// storeCommand runs the fake weight store.
type storeCommand struct {
	Address string `long:"address" required:"true" description:"IP:port to listen on"`
	Size    int    `long:"size" default:"4194304" description:"bytes of one version"`
	Rate    int    `long:"rate" default:"33554432" description:"bytes a second over all readers"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	return standin.Listen(ctx, c.Address, standin.NewStore(c.Size, c.Rate).Handler())
}

// scoringCommand runs the fake scoring service.
type scoringCommand struct {
	Address string `long:"address" required:"true" description:"IP:port to listen on"`
}

// Execute implements flags.Commander.
func (c *scoringCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	return standin.Listen(ctx, c.Address, standin.ScoringHandler())
}
