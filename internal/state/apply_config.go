package state

import (
	"maps"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
)

// IsConfig reports whether c changes the configuration, which every entry daemon holds.
func (c Command) IsConfig() bool {
	return c.AccountCreate != nil || c.AccountRemove != nil || c.KeyCreate != nil ||
		c.KeyWithdraw != nil || c.ServicePut != nil || c.WeightsPut != nil ||
		c.RoutingPut != nil || c.VersionPut != nil || c.EvacuationPut != nil
}

// Apply returns the configuration after cmd. If cmd is rejected or changes nothing, it
// returns c itself; the outcome holds the reason of a rejection. Entry daemons use Apply
// to follow the changes that the replicas have committed.
func (c *Config) Apply(cmd Command) (*Config, Outcome) {
	var next *Config
	var o Outcome
	switch {
	case cmd.AccountCreate != nil:
		next, o = c.accountCreate(cmd)
	case cmd.AccountRemove != nil:
		next, o = c.accountRemove(cmd.AccountRemove)
	case cmd.KeyCreate != nil:
		next, o = c.keyCreate(cmd.KeyCreate)
	case cmd.KeyWithdraw != nil:
		next, o = c.keyWithdraw(cmd.KeyWithdraw)
	case cmd.ServicePut != nil:
		next, o = c.servicePut(cmd.ServicePut)
	case cmd.WeightsPut != nil:
		next, o = c.weightsPut(cmd)
	case cmd.RoutingPut != nil:
		next, o = c.routingPut(cmd.RoutingPut)
	case cmd.VersionPut != nil:
		next, o = c.versionPut(cmd.VersionPut)
	case cmd.EvacuationPut != nil:
		next, o = c.evacuationPut(cmd.EvacuationPut)
	default:
		o = reject(result.Internal, "not a change of the configuration")
	}
	if next == nil {
		next = c
	}
	if o.Code == result.OK && o.Version == 0 {
		o.Version = next.Version
	}
	return next, o
}

func (c *Config) accountCreate(cmd Command) (*Config, Outcome) {
	name := cmd.AccountCreate.Name
	if _, ok := c.Accounts[name]; ok {
		return nil, reject(result.AlreadyExists, "account "+name+" exists")
	}
	n := c.next()
	n.Accounts = with(c.Accounts, name, Account{Name: name, Created: cmd.At})
	return n, Outcome{}
}

func (c *Config) accountRemove(cmd *AccountRemove) (*Config, Outcome) {
	if _, ok := c.Accounts[cmd.Name]; !ok {
		return nil, reject(result.NotFound, "no account "+cmd.Name)
	}
	n := c.next()
	n.Accounts = without(c.Accounts, cmd.Name)
	n.Keys = maps.Clone(c.Keys)
	for h, k := range n.Keys {
		if k.Account == cmd.Name {
			k.Withdrawn = true
			n.Keys[h] = k
		}
	}
	return n, Outcome{}
}

func (c *Config) keyCreate(cmd *KeyCreate) (*Config, Outcome) {
	if _, ok := c.Keys[cmd.Hash]; ok {
		return nil, reject(result.AlreadyExists, "the key exists")
	}
	if _, ok := c.Accounts[cmd.Account]; !ok && !cmd.Operator {
		return nil, reject(result.NotFound, "no account "+cmd.Account)
	}
	k := Key{ID: account.ID(cmd.Hash), Hash: cmd.Hash, Account: cmd.Account, Operator: cmd.Operator}
	n := c.next()
	n.Keys = with(c.Keys, cmd.Hash, k)
	return n, Outcome{}
}

func (c *Config) keyWithdraw(cmd *KeyWithdraw) (*Config, Outcome) {
	k, ok := c.KeyByID(cmd.ID)
	if !ok {
		return nil, reject(result.NotFound, "no key "+cmd.ID)
	}
	if k.Withdrawn {
		return nil, Outcome{}
	}
	k.Withdrawn = true
	n := c.next()
	n.Keys = with(c.Keys, k.Hash, k)
	return n, Outcome{}
}

func (c *Config) servicePut(cmd *ServicePut) (*Config, Outcome) {
	parsed, err := document.Parse(cmd.Name, cmd.Text)
	if err != nil {
		return nil, reject(result.DocumentInvalid, result.From(err).Message)
	}
	if parsed.Name != cmd.Name {
		return nil, reject(result.DocumentInvalid, "the document names the service "+parsed.Name)
	}
	if _, ok := c.Accounts[parsed.Owner]; !ok {
		return nil, reject(result.DocumentInvalid, "the owner "+parsed.Owner+" is no client account")
	}
	if cmd.Version != c.Services[cmd.Name].Version+1 {
		return nil, reject(result.VersionConflict, "another edit has this version number")
	}
	n := c.next()
	s := Service{Name: cmd.Name, Version: cmd.Version, Text: cmd.Text, Parsed: parsed}
	n.Services = with(c.Services, cmd.Name, s)
	return n, Outcome{Version: cmd.Version}
}

func (c *Config) weightsPut(cmd Command) (*Config, Outcome) {
	w := cmd.WeightsPut
	s, ok := c.Services[w.Service]
	if !ok {
		return nil, reject(result.ServiceUnknown, "no service "+w.Service)
	}
	if s.Parsed.Owner != w.Account {
		return nil, reject(result.NotOwner, "the service belongs to another account")
	}
	old := c.Weights[w.Service]
	if w.Version == old.Version {
		return nil, Outcome{Version: old.Version}
	}
	if w.Version < old.Version {
		return nil, reject(result.VersionConflict, "a newer version is published")
	}
	n := c.next()
	n.Weights = with(c.Weights, w.Service, Weights{Service: w.Service, Version: w.Version, Published: cmd.At})
	return n, Outcome{Version: w.Version}
}
