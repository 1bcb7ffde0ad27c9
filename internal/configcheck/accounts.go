package configcheck

import (
	"slices"
	"strings"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/routing"
)

// emptyKeyHash is the hash of the empty key, which belongs to no account.
var emptyKeyHash = account.Hash("")

// hasKey reports whether a request can have a key of the account.
func hasKey(a routing.Account) bool {
	return slices.ContainsFunc(a.KeyHashes, func(h string) bool { return h != emptyKeyHash })
}

// accountsWithoutKey finds accounts that no request can belong to.
func accountsWithoutKey(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	for i, a := range c.Accounts {
		if !hasKey(a) {
			out = append(out, warning(routing.At("accounts", i), "account-without-key", "account %s has no key, so that no request can belong to it; add a key or remove the account", a.Name))
		}
	}
	return out
}

// emptyKeys finds keys that are empty.
func emptyKeys(c *routing.Configuration, _ Bounds) []Finding {
	var out []Finding
	for i, a := range c.Accounts {
		for j, h := range a.KeyHashes {
			if h == emptyKeyHash {
				out = append(out, warning(routing.At("accounts", i).Field("key_hashes").Index(j), "key-empty", "account %s: an empty key is never accepted; replace or remove it", a.Name))
			}
		}
	}
	return out
}

// noUsableKey finds that no request can have the key that routes need.
func noUsableKey(c *routing.Configuration, _ Bounds) []Finding {
	if !c.Keyed || slices.ContainsFunc(c.Accounts, hasKey) {
		return nil
	}
	var closed []string
	for _, r := range c.Routes {
		if !r.Open {
			closed = append(closed, r.Name)
		}
	}
	if len(closed) == 0 {
		return nil
	}
	return []Finding{warning("accounts", "no-usable-key", "no account has a key, so that every request to %s is rejected; add accounts with keys, or leave out the list of accounts to do without keys", strings.Join(closed, ", "))}
}

// unusedAccounts finds that no route takes requests of any account.
func unusedAccounts(c *routing.Configuration, _ Bounds) []Finding {
	takes := func(r routing.Route) bool { return !r.Open || r.Kind == routing.Batch }
	if len(c.Accounts) == 0 || len(c.Routes) == 0 || slices.ContainsFunc(c.Routes, takes) {
		return nil
	}
	return []Finding{warning("accounts", "accounts-unused", "all routes are open and none takes batch jobs, so that no new request belongs to an account; close the routes that need a key or remove the accounts")}
}
