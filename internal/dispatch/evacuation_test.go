package dispatch

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a request that is sent to an upstream whose zone was evacuated after the choice. It
// has not run, and so goes to another upstream, whether it is idempotent or not.
func TestChosenUpstreamOfEvacuatedZoneGetsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 2, func(http.ResponseWriter, *http.Request) {})
	d := f.dispatcher()
	d.SkipEvacuated(func(a upstream.Announcement) bool { return a.ID == "u0" })
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		g.Expect(d.Run(context.Background(), newJob(id, id < "e"), acceptResponse)).To(Succeed())
		g.Expect(f.attemptsByRequest()[id]).To(Equal([]string{"u1"}))
	}
}
