package origin

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against text that goes on at an upstream which did not, or may not have, the software
// version that began it.
func TestWhereATextMayGoOn(t *testing.T) {
	for _, c := range []struct {
		name string
		text Origin
		at   upstream.Announcement
		want bool
	}{
		{"no text yet", Origin{}, upstream.Announcement{Service: "s", Software: "v2"}, true},
		{"no text yet, silent", Origin{}, upstream.Announcement{Service: "s", Silent: true}, true},
		{"same version", Origin{"s", "v1"}, upstream.Announcement{Service: "s", Software: "v1"}, true},
		{"other version", Origin{"s", "v1"}, upstream.Announcement{Service: "s", Software: "v2"}, false},
		{"same version of another service", Origin{"s", "v1"}, upstream.Announcement{Service: "r", Software: "v1"}, false},
		{"silent", Origin{"s", "v1"}, upstream.Announcement{Service: "s", Software: "v1", Silent: true}, false},
		{"none is stated", Origin{"s", ""}, upstream.Announcement{Service: "s"}, true},
		{"none was stated", Origin{"s", ""}, upstream.Announcement{Service: "s", Software: "v1"}, false},
		{"none is stated any more", Origin{"s", "v1"}, upstream.Announcement{Service: "s"}, false},
		{"unknown to both", Origin{"s", upstream.SoftwareUnknown}, upstream.Announcement{Service: "s", Software: upstream.SoftwareUnknown}, false},
	} {
		g := NewWithT(t)
		g.Expect(c.text.Allows(c.at)).To(Equal(c.want), c.name)
	}
}
