package durablefile_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/durablefile"
)

// Guards against a partly written file that replaces the old one: a temporary file left over from a
// crash must not end up in the new content, and a failed write must leave the old file as it is.
func TestReplace(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "folder", "file")
	g.Expect(durablefile.Replace(path, []byte("old"))).To(Succeed())
	g.Expect(os.WriteFile(path+".tmp", []byte("left over from a crash, and longer"), 0o600)).To(Succeed())
	g.Expect(durablefile.Replace(path, []byte("new"))).To(Succeed())
	g.Expect(os.ReadFile(path)).To(BeEquivalentTo("new"))

	g.Expect(os.Mkdir(path+".tmp", 0o700)).To(Succeed())
	g.Expect(durablefile.Replace(path, []byte("newer"))).To(MatchError(ContainSubstring("check the data folder")))
	g.Expect(os.ReadFile(path)).To(BeEquivalentTo("new"))
}
