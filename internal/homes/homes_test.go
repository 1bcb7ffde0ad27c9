package homes

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against a region that only one of a route and an account allows, and against an unknown
// region that counts as a home region.
func TestHomesOfRouteAndAccountBothApply(t *testing.T) {
	for _, x := range []struct {
		route, account []string
		allowed        []string
	}{
		{nil, nil, []string{"", "a", "b", "c"}},
		{[]string{}, []string{}, []string{"", "a", "b", "c"}},
		{[]string{"a"}, nil, []string{"a"}},
		{nil, []string{"c", "b", "b"}, []string{"b", "c"}},
		{[]string{"b", "a"}, []string{"c", "b"}, []string{"b"}},
		{[]string{"a"}, []string{"b"}, nil},
		{[]string{""}, nil, nil},
	} {
		g := NewWithT(t)
		h := Of(x.route, x.account)
		g.Expect(h == nil).To(Equal(len(x.route)+len(x.account) == 0))
		var allowed []string
		for _, r := range []string{"", "a", "b", "c"} {
			if h.Allows(r) {
				allowed = append(allowed, r)
			}
		}
		g.Expect(allowed).To(Equal(x.allowed), "route %v, account %v", x.route, x.account)
		g.Expect(h.And(Of([]string{"a"})).Allows("b")).To(BeFalse())
	}
}

// Guards against home regions in the log while a daemon is up that ignores them.
func TestNoHomesBelowTheirLevel(t *testing.T) {
	g := NewWithT(t)
	err := CheckLevel(MinLevel - 1)
	g.Expect(result.CodeOf(err).Info().Class).To(Equal(result.NotRun))
	g.Expect(result.CodeOf(err).Info().Status).To(Equal(503))
	g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
	g.Expect(CheckLevel(MinLevel)).To(Succeed())
}
