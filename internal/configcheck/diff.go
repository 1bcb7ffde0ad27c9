package configcheck

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotstream/apricotstream/internal/routing"
)

// Kind says how an item differs between two configurations.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is an item of a configuration that another one has not, or has with other values.
type Change struct {
	Kind   Kind          `json:"change"`
	Item   string        `json:"item"` // route, service, account or configuration
	Name   string        `json:"name,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"` // of an item that was added or removed, those that are set
}

// FieldChange is a field whose values differ. An empty value is one that is not set.
type FieldChange struct {
	Field  string `json:"field"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Secret bool   `json:"secret,omitempty"` // the values are secrets, and are left out
}

// Diff returns the changes from one configuration to another: those of the configuration as a whole,
// then of routes, services and accounts. Neither the version nor the order of items is a change.
func Diff(from, to *routing.Configuration) []Change {
	out := diffLists("configuration", []item{wholeItem(from)}, []item{wholeItem(to)})
	out = append(out, diffLists("route", routeItems(from), routeItems(to))...)
	out = append(out, diffLists("service", serviceItems(from), serviceItems(to))...)
	return append(out, diffLists("account", accountItems(from), accountItems(to))...)
}

// Superseded reports whether daemons that have one configuration in force keep it when they are sent
// another one that differs.
func Superseded(inForce, sent *routing.Configuration) bool { return sent.Version <= inForce.Version }

// item is a named part of a configuration.
type item struct {
	name   string
	fields []field
}

// field is a value of an item as text, "" if it is not set.
type field struct {
	name, value string
	secret      bool
}

// diffLists returns the changes between two lists of items, in the order of their names.
func diffLists(kind string, from, to []item) []Change {
	before, after := byName(from), byName(to)
	var out []Change
	for _, name := range names(from, to) {
		a, isOld := before[name]
		b, isNew := after[name]
		c := Change{Kind: Changed, Item: kind, Name: name, Fields: diffFields(a.fields, b.fields)}
		switch {
		case !isOld:
			c.Kind = Added
		case !isNew:
			c.Kind = Removed
		case len(c.Fields) == 0:
			continue
		}
		out = append(out, c)
	}
	return out
}

func byName(list []item) map[string]item {
	out := map[string]item{}
	for _, x := range list {
		out[x.name] = x
	}
	return out
}

func names(lists ...[]item) []string {
	var out []string
	for _, x := range slices.Concat(lists...) {
		out = append(out, x.name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// diffFields returns the fields that differ. Both lists have the same fields in the same order, or
// one of them is empty because its item does not exist.
func diffFields(from, to []field) []FieldChange {
	var out []FieldChange
	for i := range max(len(from), len(to)) {
		var a, b field
		if i < len(from) {
			a = from[i]
		}
		if i < len(to) {
			b = to[i]
		}
		if a.value == b.value {
			continue
		}
		c := FieldChange{Field: cmp.Or(a.name, b.name), Old: a.value, New: b.value}
		if a.secret || b.secret {
			c = FieldChange{Field: c.Field, Secret: true}
		}
		out = append(out, c)
	}
	return out
}

// distinct makes the names of items distinct, which those of routes need not be: the second of a
// name gets " (2)", and so on.
func distinct(list []item) []item {
	seen := map[string]bool{}
	for i := range list {
		name := list[i].name
		for n := 2; seen[list[i].name]; n++ {
			list[i].name = name + " (" + strconv.Itoa(n) + ")"
		}
		seen[list[i].name] = true
	}
	return list
}

// join returns the texts of a list, separated by blanks.
func join[T any](list []T, text func(T) string) string {
	var out []string
	for _, x := range list {
		out = append(out, text(x))
	}
	return strings.Join(out, " ")
}
