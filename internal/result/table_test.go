package result

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// declared counts the constants of code.go.
func declared() int {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	n := 0
	ast.Inspect(f, func(x ast.Node) bool {
		if v, ok := x.(*ast.ValueSpec); ok {
			n += len(v.Names)
		}
		return true
	})
	return n
}

var _ = Describe("The table of codes", func() {
	It("describes every declared code once, in order", func() {
		Expect(table).To(HaveLen(declared()))
		for i := 1; i < len(table); i++ {
			Expect(table[i].Code).To(BeNumerically(">", table[i-1].Code))
		}
	})

	It("says for each what happened and what to do", func() {
		for _, i := range table {
			Expect(i.Name).NotTo(BeEmpty())
			Expect(i.Meaning).NotTo(BeEmpty())
			Expect(i.Advice).NotTo(BeEmpty())
			Expect([]Class{NotRun, Ran, Unknown}).To(ContainElement(i.Class))
			Expect(i.Status).To(BeNumerically(">=", 200))
		}
	})

	It("is the one in docs/RESULTS.md (apricotstream codes --markdown)", func() {
		b, err := os.ReadFile("../../docs/RESULTS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(ContainSubstring(Markdown()))
	})
})

var _ = Describe("Error", func() {
	It("keeps its code through wrapping", func() {
		err := errors.Annotate(NewRetryAfter(NoQuorum, time.Second, "x"), "while claiming")
		Expect(CodeOf(err)).To(Equal(NoQuorum))
		Expect(From(err).RetryAfter).To(Equal(time.Second))
	})

	It("reads an uncoded error as internal, whose outcome is unknown", func() {
		e := From(fmt.Errorf("x"))
		Expect(e.Code).To(Equal(Internal))
		Expect(e.Code.Info().Class).To(Equal(Unknown))
	})
})
