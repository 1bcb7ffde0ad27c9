package routing

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/result"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version: 3,
		Services: []Service{
			{Name: "checker"}, {Name: "other"},
		},
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/a/", Kind: Idempotent, Splits: []Split{{"checker", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/a/b/", Kind: Idempotent, Splits: []Split{{"checker", 90}, {"other", 10}, {"checker", 0}}},
			{Name: "batch", Host: "b.example", Prefix: "/", Kind: Batch, Splits: []Split{{"other", 1}}},
		},
		Accounts: []Account{
			{Name: "one", KeyHashes: []string{account.Hash("k1"), account.Hash("k2")}},
			{Name: "two", KeyHashes: []string{account.Hash("k3")}},
		},
		Keyed: true,
	}
}

var _ = Describe("Table", func() {
	It("selects the longest prefix of the host and ignores the case and port of the host", func() {
		t := NewTable(validConfiguration())
		Expect(t.Route("a.example:80", "/a/b/c").Name).To(Equal("long"))
		Expect(t.Route("A.EXAMPLE", "/a/x").Name).To(Equal("short"))
		Expect(t.Route("a.example", "/a")).To(BeNil())
		Expect(t.Route("c.example", "/a/")).To(BeNil())
		Expect(t.BatchRoute("b.example").Name).To(Equal("batch"))
		Expect(t.BatchRoute("a.example")).To(BeNil())
	})

	It("finds an account by any of its keys", func() {
		t := NewTable(validConfiguration())
		Expect(t.Account("k2").Name).To(Equal("one"))
		Expect(t.Account("k3").Name).To(Equal("two"))
		Expect(t.Account("k4")).To(BeNil())
		Expect(t.Account("")).To(BeNil())
	})

	It("selects services by weight and never one with weight 0", func() {
		r := NewTable(validConfiguration()).Route("a.example", "/a/b/")
		Expect(r.Service(0)).To(Equal("checker"))
		Expect(r.Service(0.899)).To(Equal("checker"))
		Expect(r.Service(0.901)).To(Equal("other"))
		Expect(r.Service(0.9999)).To(Equal("other"))
	})
})

var _ = DescribeTable("Validate rejects",
	func(invalidate func(*Configuration)) {
		c := validConfiguration()
		Expect(c.Validate()).To(Succeed())
		invalidate(c)
		Expect(result.CodeOf(c.Validate())).To(Equal(result.DocumentInvalid))
	},
	Entry("an unknown service", func(c *Configuration) { c.Routes[0].Splits[0].Service = "none" }),
	Entry("two routes with the same host and prefix", func(c *Configuration) { c.Routes[1].Prefix = "/a/" }),
	Entry("weights with a sum of 0", func(c *Configuration) { c.Routes[0].Splits[0].Weight = 0 }),
	Entry("a route without a service", func(c *Configuration) { c.Routes[0].Splits = nil }),
	Entry("a prefix without its last slash", func(c *Configuration) { c.Routes[0].Prefix = "/a" }),
	Entry("an unknown kind", func(c *Configuration) { c.Routes[0].Kind = "?" }),
	Entry("a key that two accounts have", func(c *Configuration) { c.Accounts[1].KeyHashes = c.Accounts[0].KeyHashes }),
	Entry("a service that is listed twice", func(c *Configuration) { c.Services[1].Name = "checker" }),
)
