package cli

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The other tests of these commands need documents, and are in package platform. A script must not
// take a wrong command line, with exit code 2 elsewhere, for warnings.
var _ = DescribeTable("The commands of config exit with 3 when they have not read what to check",
	func(args ...string) {
		code, out, errOut := run(append([]string{"config"}, args...)...)
		Expect(code).To(Equal(3))
		Expect(out).To(BeEmpty())
		Expect(errOut).NotTo(BeEmpty())
	},
	Entry("without a command"),
	Entry("without a file", "check"),
	Entry("with an unknown option", "check", "--jsn", "x"),
	Entry("without the file", "check", "/nonexistent/routes.json"),
	Entry("with nothing to compare with", "diff", "/dev/null"),
	Entry("with two to compare with", "diff", "/dev/null", "--against", "/dev/null", "--control", "127.0.0.1:1"),
	Entry("with a document that is rejected", "diff", "/dev/null", "--against", "/dev/null"),
	Entry("without a replica", "diff", "/dev/null", "--control", "127.0.0.1:1"),
)
