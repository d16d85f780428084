package main

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// A page that lags behind the fields would send operators to settings that do not exist.
func TestPageIsCurrent(t *testing.T) {
	g := NewWithT(t)
	var made bytes.Buffer
	g.Expect(run([]string{"../settings.go"}, &made)).To(Succeed())
	page, err := os.ReadFile("../../../docs/settings.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(made.String()), "run: go run ./internal/settings/gendoc internal/settings/settings.go > docs/settings.md")
}
