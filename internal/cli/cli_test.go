package cli

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}

var _ = Describe("The command line", func() {
	It("accepts every example file", func() {
		for _, dir := range []string{"enigmes-boreales", "zahradny-kompost"} {
			files, err := filepath.Glob("../../examples/" + dir + "/*.ini")
			Expect(err).NotTo(HaveOccurred())
			Expect(len(files)).To(BeNumerically(">=", 8))
			args := []string{"check"}
			for _, f := range files {
				kind := "--service"
				if ok, _ := filepath.Match("entry-*.ini", filepath.Base(f)); ok {
					kind = "--config"
				}
				args = append(args, kind, f)
			}
			code, _, errOut := run(args...)
			Expect(code).To(Equal(ExitOK), errOut)
		}
	})

	It("reports all problems of a file with line and code", func() {
		f := filepath.Join(GinkgoT().TempDir(), "s.ini")
		Expect(os.WriteFile(f, []byte("[daemon]\nid = X!\nzone = a\nregion = r\ncaller_address = host:80\npeer_address = 127.0.0.1:1\nflor = 1\n"), 0o600)).To(Succeed())
		code, out, _ := run("check", "--config", f)
		Expect(code).To(Equal(ExitUsage))
		Expect(out).To(ContainSubstring("s.ini:2: 502"))
		Expect(out).To(ContainSubstring("s.ini:5: 502"))
		Expect(out).To(ContainSubstring("s.ini:7: 501"))
	})

	It("names a missing argument", func() {
		code, _, errOut := run("account", "create", "--entry", "127.0.0.1:1")
		Expect(code).To(Equal(ExitUsage))
		Expect(errOut).To(ContainSubstring("NAME"))
	})

	It("reports that nothing was changed when no entry can be reached", func() {
		code, _, errOut := run("account", "create", "a", "--entry", "127.0.0.1:1")
		Expect(code).To(Equal(ExitNotRun))
		Expect(errOut).To(ContainSubstring("214"))
	})

	It("rejects a data folder that is already initialised", func() {
		dir := GinkgoT().TempDir()
		f := filepath.Join(dir, "s.ini")
		Expect(os.WriteFile(f, []byte("[daemon]\nid = d1\nzone = a\nregion = r\ncaller_address = 127.0.0.1:2\npeer_address = 127.0.0.1:1\ndata_folder = data\n"), 0o600)).To(Succeed())
		args := []string{"init", "--config", f, "--operator-key-file", filepath.Join(dir, "k"), "--voter", "d1=127.0.0.1:1@a"}
		code, _, _ := run(args...)
		Expect(code).To(Equal(ExitOK))
		code, _, errOut := run(args...)
		Expect(code).To(Equal(ExitNotRun))
		Expect(errOut).To(ContainSubstring("404"))
	})

	It("prints the references that the docs contain", func() {
		for _, kind := range []string{"settings", "service"} {
			_, out, _ := run("reference", kind)
			b, err := os.ReadFile("../../docs/" + map[string]string{"settings": "SETTINGS.md", "service": "SERVICE.md"}[kind])
			Expect(err).NotTo(HaveOccurred())
			Expect(string(b)).To(ContainSubstring(out), "run scripts/reference.sh to regenerate the reference of "+kind)
		}
	})
})

var _ = DescribeTable("Unexpected arguments are rejected before the command runs",
	func(args ...string) {
		code, _, errOut := run(args...)
		Expect(code).To(Equal(ExitUsage))
		Expect(errOut).To(ContainSubstring(`unexpected argument "extra"`))
	},
	Entry("after a plain command", "version", "extra"),
	Entry("after a subcommand", "key", "create", "--entry", "127.0.0.1:1", "--account", "one", "extra"),
	Entry("after an argument", "codes", "213", "extra"),
)
