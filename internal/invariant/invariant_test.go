package invariant_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

// Guards against violations that are neither counted nor passed to the handlers, so that no invariant
// check could ever fail.
func TestCheckReportsViolations(t *testing.T) {
	g := NewWithT(t)
	var got []invariant.Violation
	unsubscribe := invariant.Subscribe(func(v invariant.Violation) { got = append(got, v) })
	before := invariant.Counts()["test.example"]

	g.Expect(invariant.Check(true, "test.example", "unused")).To(BeTrue())
	g.Expect(got).To(BeEmpty())
	g.Expect(invariant.Check(false, "test.example", "%d below %d", 1, 2)).To(BeFalse())
	g.Expect(got).To(Equal([]invariant.Violation{{Name: "test.example", Detail: "1 below 2"}}))
	g.Expect(invariant.Counts()["test.example"]).To(Equal(before + 1))

	unsubscribe()
	invariant.Check(false, "test.example", "not delivered")
	g.Expect(got).To(HaveLen(1))
}
