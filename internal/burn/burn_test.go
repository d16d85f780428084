package burn_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Burn")
}

var (
	start  = time.Unix(1_700_000_000, 0)
	key    = burn.Key{Service: "cuefeed", Priority: priority.Urgent}
	target = burn.Target{Latency: 100 * time.Millisecond, Share: 0.99}
)

func record(r *burn.Recorder, good, slow, refused int) {
	for range good {
		r.RecordResponse(key, target, 200, 50*time.Millisecond)
	}
	for range slow {
		r.RecordResponse(key, target, 200, 150*time.Millisecond)
	}
	for range refused {
		r.RecordRefusal(key, target, problem.QueueFull)
	}
}

func merge(now time.Time, recorders ...*burn.Recorder) burn.Line {
	var replies []*fleetpb.BurnReply
	for _, r := range recorders {
		replies = append(replies, r.Reply("n", now))
	}
	report := burn.Merge(replies, nil, now)
	ExpectWithOffset(1, report.Lines).To(HaveLen(1))
	return report.Lines[0]
}

var _ = Describe("Recorder and Merge", func() {
	// Guards against a report that does not add up the requests of two nodes, or that counts slow responses
	// or shed requests as good.
	It("merges nodes and computes burn rates", func() {
		a, b := burn.NewRecorder(start), burn.NewRecorder(start)
		record(a, 90, 5, 0)
		record(b, 90, 5, 10)
		line := merge(start.Add(time.Second), a, b)
		Expect(line.Rates[0].Total).To(BeEquivalentTo(200))
		Expect(line.Rates[0].Good).To(BeEquivalentTo(180))
		Expect(line.Rates[0].Burn).To(BeNumerically("~", 10, 1e-9))
		Expect(line.Refusals).To(HaveKeyWithValue("queue-full", BeEquivalentTo(10)))
		Expect(line.Verdict).To(Equal(burn.VerdictTicket))
	})

	// Guards against refusals caused by the caller that burn the error budget of the service.
	It("leaves caller faults out of the total", func() {
		r := burn.NewRecorder(start)
		record(r, 10, 0, 0)
		r.RecordRefusal(key, target, problem.KeyReuse)
		line := merge(start, r)
		Expect(line.Rates[0].Total).To(BeEquivalentTo(10))
		Expect(line.Refusals).To(HaveKeyWithValue("key-reuse", BeEquivalentTo(1)))
		Expect(line.Verdict).To(Equal(burn.VerdictNone))
	})

	// Guards against a page for an incident that is over but still within the long window.
	It("needs both windows for a page", func() {
		r := burn.NewRecorder(start)
		record(r, 70, 30, 0)
		Expect(merge(start, r).Verdict).To(Equal(burn.VerdictPage))
		r.RollBucket(start.Add(10 * time.Minute))
		record(r, 20, 0, 0)
		line := merge(start.Add(10*time.Minute), r)
		Expect(line.Rates[0].Burn).To(BeZero())
		Expect(line.Verdict).To(Equal(burn.VerdictTicket))
	})

	// Guards against requests that are lost when fine buckets are merged into coarse ones, and against counts
	// that are not dropped after 3 days.
	It("keeps counts for 3 days", func() {
		r := burn.NewRecorder(start)
		for i := range 1000 {
			now := start.Add(time.Duration(i) * burn.FineSpan)
			r.RollBucket(now)
			record(r, 1, 0, 0)
		}
		end := start.Add(1000 * burn.FineSpan)
		line := merge(end, r)
		Expect(line.Rates[4].Total).To(BeEquivalentTo(1000))
		Expect(len(line.Points)).To(BeNumerically("<", 500))
		Expect(merge(end.Add(80*time.Hour), r).Rates[4].Total).To(BeZero())
	})

	// Guards against counts that are lost in a restart with a data folder, or are not reported as durable.
	It("survives a restart", func() {
		folder := GinkgoT().TempDir()
		r := burn.NewRecorder(start)
		record(r, 7, 1, 2)
		Expect(r.Save(folder, "n", start)).To(Succeed())
		restarted := burn.NewRecorder(start.Add(time.Minute))
		Expect(restarted.Load(folder, start.Add(time.Minute))).To(Succeed())
		reply := restarted.Reply("n", start.Add(time.Minute))
		Expect(reply.GetDurable()).To(BeTrue())
		Expect(reply.GetSinceS()).To(Equal(start.Unix()))
		Expect(merge(start.Add(time.Minute), restarted).Rates[1].Total).To(BeEquivalentTo(10))
	})

	// Guards against a damaged file of counts that prevents further counting.
	It("starts with empty counts if the file is damaged", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "burn.pb"), []byte{0xff, 0x01}, 0o600)).To(Succeed())
		r := burn.NewRecorder(start)
		Expect(r.Load(folder, start)).To(MatchError(ContainSubstring("damaged")))
		record(r, 1, 0, 0)
		Expect(merge(start, r).Rates[0].Total).To(BeEquivalentTo(1))
	})

	// Guards against a text or HTML report that omits the nodes that did not reply.
	It("names unreachable nodes", func() {
		report := burn.Merge(nil, []string{"node-9", "node-2"}, start)
		var text, page bytes.Buffer
		Expect(report.WriteText(&text)).To(Succeed())
		Expect(report.WriteHTML(&page)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("node-2, node-9"))
		Expect(page.String()).To(ContainSubstring("node-2, node-9"))
	})

	// Guards against a page that refers to another file or server and so cannot be viewed offline.
	It("draws plots without outside references", func() {
		r := burn.NewRecorder(start)
		record(r, 7, 1, 2)
		report := burn.Merge([]*fleetpb.BurnReply{r.Reply("n", start)}, nil, start)
		var page bytes.Buffer
		Expect(report.WriteHTML(&page)).To(Succeed())
		Expect(page.String()).To(ContainSubstring("<svg"))
		Expect(page.String()).NotTo(MatchRegexp(`(?i)(src|href)="(https?:)?//`))
	})
})
