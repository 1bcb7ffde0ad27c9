package cli

import (
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	soundDocument    = `{"version":4,"routes":[{"name":"r","host":"a.example","pathPrefix":"/","type":"safe","timeoutMs":2000,"service":"s"}],"services":[{"name":"s"}],"tenants":[{"name":"one","apiKeys":["confidential"]}]}`
	doubtfulDocument = `{"version":4,"routes":[{"name":"r","host":"a.example:80","pathPrefix":"/","type":"safe","service":"s"}],"services":[{"name":"s"}]}`
	rejectedDocument = `{"version":4,"routes":[{"name":"r","host":"a.example","pathPrefix":"/","type":"safe","service":"x"}],"services":[{"name":"s"}]}`
)

// writeDocument writes text to a file and returns its path.
func writeDocument(text string) string {
	f := filepath.Join(GinkgoT().TempDir(), "routes.json")
	Expect(os.WriteFile(f, []byte(text), 0o600)).To(Succeed())
	return f
}

// Scripts decide by the exit code whether to send a configuration.
var _ = DescribeTable("config check exits with",
	func(text string, wantCode int, want string) {
		f := writeDocument(text)
		code, out, errOut := run("config", "check", f)
		Expect(code).To(Equal(wantCode), errOut)
		Expect(out).To(HavePrefix(f + want))
		var report struct {
			Findings []struct{ Severity, Code, Location, Message string }
		}
		code, out, _ = run("config", "check", f, "--json")
		Expect(code).To(Equal(wantCode))
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Findings == nil).To(BeFalse(), "an empty list, not null")
		if len(report.Findings) > 0 {
			first := report.Findings[0]
			Expect(out).NotTo(ContainSubstring("confidential"))
			Expect(want).To(HavePrefix(": " + first.Location))
			Expect(want).To(HaveSuffix(first.Severity + " " + first.Code + ": "))
		}
	},
	Entry("0 without findings", soundDocument, 0, ": ok\n"),
	Entry("1 if daemons reject it", rejectedDocument, 1, ": routes[0].service: error service-unknown: "),
	Entry("2 with warnings only", doubtfulDocument, 2, ": routes[0].host: warning host-impossible: "),
	Entry("1 if it is no JSON", soundDocument[:60], 1, ": error document-malformed: "),
)

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
)

var _ = Describe("config check", func() {
	It("compares the limit of bodies with the memory of an entry", func() {
		f := writeDocument(soundDocument[:len(soundDocument)-1] + `,"limits":{"maxBodyBytes":33554432}}`)
		code, _, _ := run("config", "check", f, "--memory-mb", "144")
		Expect(code).To(Equal(0))
		code, out, _ := run("config", "check", f, "--memory-mb", "120")
		Expect(code).To(Equal(2))
		Expect(out).To(ContainSubstring("body-limit-above-memory"))
	})
})
