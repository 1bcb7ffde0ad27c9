package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// Guards against a sample joined from two software versions after its upstream broke off: it
// resumes at its own version, also if that has one upstream only, or begins anew.
func TestSampleIsOfOneSoftwareVersion(t *testing.T) {
	cutting := standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CutEvery: 2}}
	sound := standin.Options{TokenTime: time.Millisecond}
	for name, engines := range map[string][]standin.Options{
		"another engine of the version": {cutting, sound, sound},
		"no other one":                  {cutting, sound},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimFleet(t, engines...)
			software := map[string]string{}
			for i := range sim.live {
				sim.live[i].Software = map[bool]string{true: "v2", false: "v1"}[i == len(sim.live)-1]
				software[sim.live[i].ID] = sim.live[i].Software
			}
			joined, resumed := 0, 0
			for _, s := range sim.fetchStep(t, 4, 32) {
				for i, w := range strings.Fields(s.Text) {
					g.Expect(w).To(Equal(fmt.Sprintf("t%d@1", i)))
				}
				for _, u := range s.Upstreams {
					if software[u] != software[s.Upstreams[0]] {
						joined++
						break
					}
				}
				if len(s.Upstreams) > 1 {
					resumed++
				}
			}
			g.Expect(joined).To(BeZero())
			g.Expect(resumed).To(BeNumerically(">", 0))
		})
	}
}
