package feed_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func publish(t *feed.Tail, revision uint64, author string) {
	t.Publish(&configpb.Document{Revision: revision}, &configpb.Entry{Revision: revision, Author: author})
}

// A node cannot apply a difference with a gap, and retaining all entries would fill the memory.
func TestFetchAnswersWithTheDifferenceOrTheDocument(t *testing.T) {
	g := NewWithT(t)
	tail := feed.NewTail(0)
	since := func(revision uint64) *configpb.FetchReply {
		return tail.Fetch(context.Background(), &configpb.FetchRequest{Revision: revision})
	}
	g.Expect(since(0).GetDocument()).To(BeNil())
	tail.Publish(&configpb.Document{Revision: 5}, nil)
	publish(tail, 6, "")
	publish(tail, 7, "")
	g.Expect(since(5).GetEntries()).To(HaveLen(2))
	g.Expect(since(6).GetEntries()).To(HaveLen(1))
	g.Expect(since(4).GetEntries()).To(BeEmpty())
	g.Expect(since(4).GetDocument().GetRevision()).To(BeEquivalentTo(7))
	g.Expect(since(9).GetDocument()).To(BeNil(), "a process that is ahead gets nothing older")
	publish(tail, 9, "")
	g.Expect(since(7).GetDocument()).NotTo(BeNil(), "revision 8 is unknown")
	publish(tail, 10, strings.Repeat("x", 9<<20))
	g.Expect(since(9).GetDocument()).NotTo(BeNil(), "the entry is too large to be retained")
	publish(tail, 11, "")
	g.Expect(since(10).GetEntries()).To(HaveLen(1))
	for revision := uint64(12); revision < 2000; revision++ {
		publish(tail, revision, "")
	}
	g.Expect(tail.Recent(5000)).To(HaveLen(1024))
	violations := invariant.Total()
	publish(tail, 3, "")
	g.Expect(invariant.Total()).To(Equal(violations + 1))
	g.Expect(tail.Revision()).To(BeEquivalentTo(1999))
}

// Entries that each replace the whole document add up to many times its size, which would saturate the link
// of a small host that starts.
func TestFetchSendsTheSmallerOfDifferenceAndDocument(t *testing.T) {
	g := NewWithT(t)
	tail := feed.NewTail(0)
	large := strings.Repeat("x", 40<<10)
	for revision := uint64(1); revision <= 17; revision++ {
		tail.Publish(
			&configpb.Document{Revision: revision, Teams: []*configpb.Team{{Id: large}}},
			&configpb.Entry{Revision: revision, Author: large},
		)
	}
	reply := tail.Fetch(context.Background(), &configpb.FetchRequest{})
	g.Expect(proto.Size(reply)).To(BeNumerically("<", 41<<10))
	g.Expect(reply.GetDocument().GetRevision()).To(BeEquivalentTo(17))
	g.Expect(tail.Fetch(context.Background(), &configpb.FetchRequest{Revision: 16}).GetEntries()).To(HaveLen(1))
	brief := tail.Fetch(context.Background(), &configpb.FetchRequest{Brief: true})
	g.Expect(brief.GetRevision()).To(BeEquivalentTo(17))
	g.Expect(brief.GetDocument()).To(BeNil())
}

// The operator's text of a large configuration takes seconds on the link of a small host that does not need it.
func TestFeedOmitsTheOperatorsText(t *testing.T) {
	g := NewWithT(t)
	tail := feed.NewTail(0)
	document := &configpb.Document{Revision: 1, Version: 3, Source: []byte(strings.Repeat("x", 100<<10)), Routes: []*configpb.Route{{Id: "r"}}}
	entry := &configpb.Entry{Revision: 2, RequestId: "id", Change: &configpb.Change{Kind: &configpb.Change_Supersede{
		Supersede: &configpb.Supersede{Document: document},
	}}}
	tail.Publish(document, nil)
	next := proto.CloneOf(document)
	next.Revision = 2
	tail.Publish(next, entry)
	whole := tail.Fetch(context.Background(), &configpb.FetchRequest{})
	g.Expect(proto.Size(whole)).To(BeNumerically("<", 1<<10))
	g.Expect(whole.GetDocument().GetRoutes()).To(HaveLen(1))
	entries := tail.Fetch(context.Background(), &configpb.FetchRequest{Revision: 1})
	g.Expect(proto.Size(entries)).To(BeNumerically("<", 1<<10))
	g.Expect(entries.GetEntries()[0].GetChange().GetSupersede().GetDocument().GetVersion()).To(BeEquivalentTo(3))
	g.Expect(document.GetSource()).To(HaveLen(100<<10), "the document of the control replica is not changed")
}

// After a change of one route, a host with a small link was sent a document with all routes.
func TestFetchSendsTheDifferenceOfLargeDocuments(t *testing.T) {
	g := NewWithT(t)
	tail := feed.NewTail(2)
	document := &configpb.Document{Revision: 1, Version: 1}
	for i := range 1400 {
		document.Routes = append(document.Routes, &configpb.Route{Id: fmt.Sprintf("route %04d", i), PathPrefix: strings.Repeat("x", 50)})
	}
	for revision := uint64(1); revision <= 4; revision++ {
		next := proto.CloneOf(document)
		next.Revision, next.Version = revision, revision
		next.Routes[revision].MaxAttempts = 3
		tail.Publish(next, &configpb.Entry{Revision: revision, Change: &configpb.Change{Kind: &configpb.Change_Supersede{
			Supersede: &configpb.Supersede{Document: next},
		}}})
		document = next
	}
	since := func(revision uint64, accepts bool) *configpb.FetchReply {
		return tail.Fetch(context.Background(), &configpb.FetchRequest{Revision: revision, AcceptsDifference: accepts})
	}
	reply := since(2, true)
	g.Expect(proto.Size(reply)).To(BeNumerically("<", 1<<10))
	g.Expect(reply.GetDifference().GetChanged().GetRoutes()).To(HaveLen(2))
	g.Expect(since(2, false).GetDifference()).To(BeNil(), "an older process cannot apply it")
	g.Expect(since(1, true).GetDocument()).NotTo(BeNil(), "the base is not retained any more")
	large := &configpb.Document{Teams: []*configpb.Team{{Id: strings.Repeat("x", 3<<20)}}}
	for revision := uint64(5); revision <= 7; revision++ {
		next := proto.CloneOf(large)
		next.Revision = revision
		tail.Publish(next, nil)
	}
	g.Expect(since(6, true).GetDifference()).NotTo(BeNil())
	g.Expect(since(5, true).GetDocument()).NotTo(BeNil(), "the former documents are too large to be retained")
}
