package node

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/routing"
)

// Guards against a field in the control log at which replicas of an older build stop.
func TestDroppedColdBoundLeavesNoTrace(t *testing.T) {
	g := NewWithT(t)
	c := &routing.Configuration{Services: []routing.Service{{Name: "a", ColdPerS: 14}, {Name: "b"}}}
	n := &Node{log: log.New(io.Discard)}
	n.dropColdBounds(c, 0)
	got, err := json.Marshal(c)
	g.Expect(err).NotTo(HaveOccurred())
	plain, err := json.Marshal(&routing.Configuration{Services: []routing.Service{{Name: "a"}, {Name: "b"}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(plain))
}
