package records

import (
	"net/http"
	"slices"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// MaxBodyBytes is the largest answer body that is kept for replay.
	MaxBodyBytes = 64 << 10
	// maxHeaderBytes is the largest sum of header names and values that is kept for replay.
	maxHeaderBytes = 16 << 10
)

// answerToProto converts an answer; one that is too large is reduced to its status.
func answerToProto(a attempt.Answer) *fleetpb.Answer {
	p := &fleetpb.Answer{Status: int32(a.Status)}
	if a.TooLarge || len(a.Body) > MaxBodyBytes || headerBytes(a.Header) > maxHeaderBytes {
		p.TooLarge = true
		return p
	}
	p.Body = a.Body
	for name, values := range a.Header {
		p.Headers = append(p.Headers, &fleetpb.HeaderField{Name: name, Values: slices.Clone(values)})
	}
	slices.SortFunc(p.Headers, func(a, b *fleetpb.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return p
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func answerFromProto(p *fleetpb.Answer) *attempt.Answer {
	a := &attempt.Answer{Status: int(p.GetStatus()), Body: p.GetBody(), TooLarge: p.GetTooLarge(), Header: http.Header{}}
	for _, field := range p.GetHeaders() {
		a.Header[field.GetName()] = slices.Clone(field.GetValues())
	}
	return a
}
