package records

import (
	"net/http"
	"slices"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// MaxBodyBytes is the largest response body that is kept for replay.
	MaxBodyBytes = 64 << 10
	// maxHeaderBytes is the largest sum of header names and values that is kept for replay.
	maxHeaderBytes = 16 << 10
)

// responseToProto converts a response. If the response is too large, only its status is kept.
func responseToProto(response attempt.Answer) *fleetpb.Answer {
	p := &fleetpb.Answer{Status: int32(response.Status)}
	if response.TooLarge || len(response.Body) > MaxBodyBytes || headerBytes(response.Header) > maxHeaderBytes {
		p.TooLarge = true
		return p
	}
	p.Body = response.Body
	for name, values := range response.Header {
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

func responseFromProto(p *fleetpb.Answer) *attempt.Answer {
	response := &attempt.Answer{Status: int(p.GetStatus()), Body: p.GetBody(), TooLarge: p.GetTooLarge(), Header: http.Header{}}
	for _, field := range p.GetHeaders() {
		response.Header[field.GetName()] = slices.Clone(field.GetValues())
	}
	return response
}
