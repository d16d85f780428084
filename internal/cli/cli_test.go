package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "CLI")
}

func execute(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = run(context.Background(), args, &out, &errs)
	return status, out.String(), errs.String()
}

var _ = Describe("The command line", func() {
	It("uses different exit statuses for usage errors and failures", func() {
		status, _, stderr := execute("no-such-command")
		Expect(status).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("no-such-command"))
		status, stdout, _ := execute("--help")
		Expect(status).To(Equal(exitOK))
		Expect(stdout).To(ContainSubstring("check-settings"))
	})

	// Guards against example files that the program rejects, which new users would try first.
	DescribeTable("accepts every example", func(pattern, kind string) {
		files, err := filepath.Glob("../../examples/" + pattern)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		status, stdout, stderr := execute(append([]string{"check-settings"}, files...)...)
		Expect(stderr).To(BeEmpty())
		Expect(status).To(Equal(exitOK))
		Expect(stdout).To(ContainSubstring("valid " + kind))
	},
		Entry("nodes", "*/node*.json", "settings"),
		Entry("control replicas", "*/control*.json", "settings"),
		Entry("configurations", "*/configuration.json", "configuration"),
	)

	It("names field and remedy of an invalid file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "faulty.json")
		Expect(os.WriteFile(path, []byte(`{"idd": "node-1"}`), 0o600)).To(Succeed())
		status, _, stderr := execute("check-settings", path)
		Expect(status).To(Equal(exitFailure))
		Expect(stderr).To(ContainSubstring("idd: unknown field; remove it or correct its spelling"))
	})

	It("takes the platform's settings from the file that the environment names", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.json")
		GinkgoT().Setenv("TARRAGONMUX_BOOT", path)
		status, _, stderr := execute("platform")
		Expect(status).To(Equal(exitFailure))
		Expect(stderr).To(ContainSubstring(path))
	})

	It("says what to do when no control replica is named or answers", func() {
		GinkgoT().Setenv("TARRAGONMUX_CONTROL", "")
		GinkgoT().Setenv("TARRAGONMUX_SETTINGS", "")
		status, _, stderr := execute("config", "get")
		Expect(status).To(Equal(exitFailure))
		Expect(stderr).To(ContainSubstring("--control"))
		status, _, stderr = execute("config", "get", "--control", "127.0.0.1:1", "--retry-for", "100ms")
		Expect(status).To(Equal(exitFailure))
		Expect(stderr).To(ContainSubstring("control-unavailable"))
	})

	It("prints JSON that holds all rows", func() {
		var out, errs bytes.Buffer
		o := &output{out: &out, errs: &errs}
		Expect(applyResult{Verdict: "accepted", Revision: 7}.write(o, true)).To(Succeed())
		var parsed map[string]any
		Expect(json.Unmarshal(out.Bytes(), &parsed)).To(Succeed())
		Expect(parsed).To(HaveKeyWithValue("revision", BeEquivalentTo(7)))
	})
})
