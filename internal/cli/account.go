package cli

import (
	"fmt"
	"net/http"
	"os"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/gateway"
	"github.com/apricotstream/apricotstream/internal/state"
)

type nameArg struct {
	Name string `positional-arg-name:"NAME" required:"true"`
}

func accountCommands(o *options) []subcommand {
	return []subcommand{
		{"create", "Create a client account", "hunt-montreal", &accountCreate{o: o}},
		{"list", "List client accounts", "--json", &accountList{o: o}},
		{"remove", "Remove a client account and withdraw its keys", "hunt-montreal", &accountRemove{o: o}},
	}
}

type accountCreate struct {
	o *options
	entryClient
	Args nameArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *accountCreate) Execute([]string) error {
	var out state.Outcome
	if err := c.doJSON(http.MethodPost, "/admin/v1/accounts", state.AccountCreate{Name: c.Args.Name}, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprintf(c.o.out, "account %s created\n", c.Args.Name) })
}

type accountList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *accountList) Execute([]string) error {
	var out []state.Account
	if err := c.do(http.MethodGet, "/admin/v1/accounts", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, a := range out {
			fmt.Fprintln(c.o.out, a.Name)
		}
	})
}

type accountRemove struct {
	o *options
	entryClient
	Args nameArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *accountRemove) Execute([]string) error {
	var out state.Outcome
	if err := c.do(http.MethodDelete, "/admin/v1/accounts/"+c.Args.Name, nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprintf(c.o.out, "account %s removed\n", c.Args.Name) })
}

func keyCommands(o *options) []subcommand {
	return []subcommand{
		{"create", "Create a key and print it; it cannot be shown again", "--account hunt-montreal --out hunt-montreal.key", &keyCreate{o: o}},
		{"list", "List keys without their secrets", "", &keyList{o: o}},
		{"withdraw", "Withdraw a key by its id", "k-0ad25b339342", &keyWithdraw{o: o}},
	}
}

type keyCreate struct {
	o *options
	entryClient
	Account  string `long:"account" value-name:"NAME" description:"client account of the key"`
	Operator bool   `long:"operator" description:"make an operator key instead"`
	Out      string `long:"out" value-name:"FILE" description:"write the key to this file instead of printing it"`
}

// Execute implements flags.Commander. The key is generated here and only its hash is
// sent to the system.
func (c *keyCreate) Execute([]string) error {
	key := account.NewKey()
	q := state.KeyCreate{Hash: account.Hash(key), Account: c.Account, Operator: c.Operator}
	var out gateway.KeyBody
	if err := c.doJSON(http.MethodPost, "/admin/v1/keys", q, &out); err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.WriteFile(c.Out, []byte(key+"\n"), 0o600); err != nil {
			return err
		}
		key = "written to " + c.Out
	}
	shown := struct {
		gateway.KeyBody
		Key string `json:"key"`
	}{out, key}
	return c.print(c.o.out, shown, func() { fmt.Fprintf(c.o.out, "id %s\nkey %s\n", out.ID, key) })
}

type keyList struct {
	o *options
	entryClient
}

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	var out []gateway.KeyBody
	if err := c.do(http.MethodGet, "/admin/v1/keys", nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() {
		for _, k := range out {
			holder, state := k.Account, "active"
			if k.Operator {
				holder = "(operator)"
			}
			if k.Withdrawn {
				state = "withdrawn"
			}
			fmt.Fprintf(c.o.out, "%-18s %-24s %s\n", k.ID, holder, state)
		}
	})
}

type keyWithdraw struct {
	o *options
	entryClient
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	var out state.Outcome
	if err := c.do(http.MethodDelete, "/admin/v1/keys/"+c.Args.ID, nil, &out); err != nil {
		return err
	}
	return c.print(c.o.out, out, func() { fmt.Fprintf(c.o.out, "key %s withdrawn\n", c.Args.ID) })
}
