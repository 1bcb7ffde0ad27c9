package chooser

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

type fixedDirectory []upstream.Announcement

func (d fixedDirectory) Service(string) []upstream.Announcement { return d }

// Guards against a first attempt, retry or hedge outside the home regions of a request, among them an
// upstream whose region is not known, and against home regions that change other requests.
func TestPicksStayInHomeRegions(t *testing.T) {
	g := NewWithT(t)
	c := New(fixedDirectory{
		{ID: "r0", Service: "s", Zone: "z0", Region: "r"},
		{ID: "r1", Service: "s", Zone: "z1", Region: "r"},
		{ID: "f0", Service: "s", Zone: "f0", Region: "far"},
		{ID: "u0", Service: "s", Zone: "u0"},
	})
	for _, x := range []struct {
		homes *homes.Homes
		want  []string
	}{
		{nil, []string{"f0", "r0", "r1", "u0"}},
		{homes.Of([]string{"r"}), []string{"r0", "r1"}},
		{homes.Of([]string{"far", "r"}), []string{"f0", "r0", "r1"}},
		{homes.Of([]string{"r"}, []string{"far"}), nil},
	} {
		var tried []string // of one request, as retries and hedges exclude them
		for {
			choice, ok := c.Pick(t.Context(), picker.Request{Service: "s", Zone: "f0", Repeatable: true, Homes: x.homes, Exclude: slices.Clone(tried)})
			if !ok {
				break
			}
			tried = append(tried, choice.ID)
			c.Release(t.Context(), choice.Announcement, nil)
		}
		slices.Sort(tried)
		g.Expect(tried).To(Equal(x.want), "homes %v", x.homes)
		g.Expect(c.Within(x.homes).Upstreams("s")).To(HaveLen(len(x.want)))
	}
}
