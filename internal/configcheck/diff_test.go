package configcheck

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/routing"
)

func TestDiffListsItemsByName(t *testing.T) {
	g := NewWithT(t)
	from, to := validConfiguration(), validConfiguration()
	to.Version++
	to.Routes[0].Timeout = 2 * time.Second
	to.Routes[1].Name = "piece"
	to.Services[1].ColdPerS = 0
	to.Accounts[0].KeyHashes[0] = account.Hash("k9")
	to.Limits.BodyBytes = 1 << 20
	list := Diff(from, to)
	fields := list[2].Fields // of a route that was renamed: all that are set
	list[1].Fields, list[2].Fields = nil, nil
	g.Expect(list).To(Equal([]Change{
		{Changed, "configuration", "", []FieldChange{{Field: "body bytes", Old: "33554432", New: "1048576"}}},
		{Kind: Changed, Item: "route", Name: "ask"},
		{Kind: Removed, Item: "route", Name: "part"},
		{Added, "route", "piece", Diff(from, to)[3].Fields},
		{Changed, "service", "plain", []FieldChange{{Field: "cold requests per second", Old: "4"}}},
		{Changed, "account", "one", []FieldChange{{Field: "keys", Secret: true}}},
	}))
	g.Expect(fields).To(ContainElements(FieldChange{Field: "services", Old: "plain:1 engine:1"}, FieldChange{Field: "open", Old: "true"}))
	g.Expect(fields).NotTo(ContainElement(HaveField("Field", "timeout")))
	g.Expect(Superseded(from, to)).To(BeFalse())
	g.Expect(Superseded(from, from)).To(BeTrue(), "daemons ignore a version that they have")
}

// A field that the comparison does not know would make two different configurations equal.
func TestDiffNoticesEveryField(t *testing.T) {
	full := func() *routing.Configuration {
		c, priority := validConfiguration(), 1
		c.Accounts[0].Priority = &priority
		c.Services[0].Scaling.ZonePrices = map[string]float64{"z": 1}
		return c
	}
	changed := full()
	leaves := 0
	changeEach(reflect.ValueOf(changed).Elem(), "", func(path string) {
		if path == ".Version" {
			return
		}
		leaves++
		NewWithT(t).Expect(Diff(full(), changed)).NotTo(BeEmpty(), path)
	})
	NewWithT(t).Expect(leaves).To(BeNumerically(">", 60))
}

// changeEach calls f with the path of each plain value in v while that value is a different one.
func changeEach(v reflect.Value, path string, f func(path string)) {
	changedTo := func(x any) {
		old := reflect.ValueOf(v.Interface())
		v.Set(reflect.ValueOf(x).Convert(v.Type()))
		f(path)
		v.Set(old)
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			changeEach(v.Field(i), path+"."+v.Type().Field(i).Name, f)
		}
	case reflect.Slice:
		for i := range v.Len() {
			changeEach(v.Index(i), path, f)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			changeEach(v.Elem(), path, f)
		}
	case reflect.String:
		changedTo(v.String() + "x")
	case reflect.Bool:
		changedTo(!v.Bool())
	case reflect.Map:
		changedTo(map[string]float64{"z": 2})
	case reflect.Float64:
		changedTo(v.Float() + 1)
	default:
		if v.CanUint() {
			changedTo(v.Uint() + 1)
		} else {
			changedTo(v.Int() + 1)
		}
	}
}

// The order of items means nothing to daemons. Names that are equal, or missing, must not make a
// configuration differ from itself.
func TestDiffOfAConfigurationWithItselfIsEmpty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, names := &routing.Configuration{}, rapid.SampledFrom([]string{"", "a", "b", "a (2)"})
		for i := range rapid.IntRange(0, 6).Draw(rt, "routes") {
			c.Routes = append(c.Routes, routing.Route{Name: names.Draw(rt, "name"), Host: names.Draw(rt, "host"), Prefix: "/" + string(rune('a'+i)) + "/", Priority: i})
		}
		for _, name := range rapid.SliceOfDistinct(names, rapid.ID).Draw(rt, "services") {
			c.Services = append(c.Services, routing.Service{Name: name, ColdPerS: rapid.Float64().Draw(rt, "rate")})
			c.Accounts = append(c.Accounts, routing.Account{Name: name, KeyHashes: rapid.SliceOf(names).Draw(rt, "keys")})
		}
		same := &routing.Configuration{
			Version: 9, Routes: rapid.Permutation(c.Routes).Draw(rt, "routes"),
			Services: rapid.Permutation(c.Services).Draw(rt, "services"), Accounts: rapid.Permutation(c.Accounts).Draw(rt, "accounts"),
		}
		g := NewWithT(rt)
		g.Expect(Diff(c, same)).To(BeEmpty())
		if len(same.Routes) > 0 {
			same.Routes = same.Routes[1:]
			g.Expect(Diff(c, same)).NotTo(BeEmpty(), "one of several routes with the same name may be missing")
		}
	})
}
