// Package testkit contains helpers that the tests of several packages share. Only tests
// import it.
package testkit

import (
	"flag"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	_ "pgregory.net/rapid" // registers the flags that FixSeed sets
)

// seed is the random seed of every run of the tests.
const seed = 20261203

// FixSeed makes rapid use the same seed in every run, unless the flag rapid.seed is set. A
// test that uses rapid outside of a Ginkgo suite must call it first.
func FixSeed() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(strconv.Itoa(seed))
	}
	// The fixed seed already reproduces a failure. A fail file in the source tree would
	// change the next run.
	_ = flag.Set("rapid.nofailfile", "true")
}

// Run runs the Ginkgo suite of a package under the given name, with fixed seeds.
func Run(t *testing.T, name string) {
	FixSeed()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	reporter.NoColor = true
	ginkgo.RunSpecs(t, name, suite, reporter)
}
