package entry

import (
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
)

// viaHeader is shared by all responses and must not be modified.
var viaHeader = []string{viaValue}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// relay sends the response of the winning attempt to the caller. If the response breaks off, the
// error makes the recovery filter abort the caller's connection.
func relay(x, winner *Exchange) error {
	resp := winner.response
	x.mayHaveRun = true
	copyResponseHeader(x, resp.Header)
	if x.claim != nil {
		x.record = &attempt.Answer{Status: resp.Status, Header: recordedHeader(x.w.Header())}
	}
	x.responseStarted = true
	x.status = resp.Status
	x.w.WriteHeader(resp.Status)
	if winner.bodyComplete {
		return relayBuffered(x, winner)
	}
	return relayStream(x, winner)
}

func relayBuffered(x, winner *Exchange) error {
	x.appendToRecord(winner.responseBody)
	if len(winner.responseBody) == 0 {
		return nil
	}
	if _, err := x.w.Write(winner.responseBody); err != nil {
		return x.writeError()
	}
	return nil
}

// writeError returns the error for a complete response that could not be written to the caller. It
// is nil for claimed work, so that the response is still recorded.
func (x *Exchange) writeError() error {
	if x.record != nil {
		return nil
	}
	return errCallerGone
}

func relayStream(x, winner *Exchange) error {
	control := http.NewResponseController(x.w)
	if len(winner.responseBody) > 0 {
		x.appendToRecord(winner.responseBody)
		if _, err := x.w.Write(winner.responseBody); err != nil {
			winner.completeAttempt(grant.Cancelled)
			return errCallerGone
		}
		winner.responseBody = nil
	}
	buffer, done := relayBuffer(x)
	defer done()
	for {
		n, readErr := winner.response.Read(buffer)
		if n > 0 {
			x.appendToRecord(buffer[:n])
			if _, err := x.w.Write(buffer[:n]); err != nil {
				winner.completeAttempt(grant.Cancelled)
				return errCallerGone
			}
		}
		if readErr == io.EOF {
			winner.completeAttempt(resultForStatus(winner.response.Status))
			return nil
		}
		if readErr != nil {
			winner.completeAttempt(resultForContext(x.ctx, readErr, grant.Broken))
			return errResponseBroken
		}
		if winner.response.Length < 0 {
			// A response of unknown length may be a live stream, so each part is flushed. The next write
			// returns an error of the flush.
			_ = control.Flush()
		}
	}
}

// relayBuffer returns a buffer for a stream, which is small if the memory for callers is used up, and a function to call
// at the end of the stream.
func relayBuffer(x *Exchange) (buffer []byte, done func()) {
	if !inbound.FromContext(x.r.Context()).Reserve(copyBufferBytes, inbound.Streams) {
		return make([]byte, smallCopyBufferBytes), func() {}
	}
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	return pooled[:], func() { copyBuffers.Put(pooled) }
}

// appendToRecord adds a part of the response to the record of claimed work.
func (x *Exchange) appendToRecord(part []byte) {
	r := x.record
	if r == nil || r.TooLarge {
		return
	}
	if len(r.Body)+len(part) > MaxRecordBytes {
		r.TooLarge = true
		r.Body = nil
		return
	}
	r.Body = append(r.Body, part...)
}

// copyResponseHeader copies the end-to-end headers of a backend server's response, and sets the request
// id and Via.
func copyResponseHeader(x *Exchange, from http.Header) {
	to := x.w.Header()
	hopOptions := connectionOptions(from)
	for name, values := range from {
		if isHopByHop(name) || x.dialect.Private(name) || name == x.dialect.RequestID || slices.Contains(hopOptions, name) {
			continue
		}
		to[name] = values
	}
	if x.bodyUnread() {
		to["Connection"] = []string{"close"}
	}
	x.idHeader[0] = x.id
	to[x.dialect.RequestID] = x.idHeader[:]
	if via := to["Via"]; len(via) > 0 {
		to["Via"] = append(slices.Clip(via), viaValue)
		return
	}
	to["Via"] = viaHeader
}

// recordedHeader returns the headers that a replay sends again. It omits those that apply to a single
// response only.
func recordedHeader(from http.Header) http.Header {
	kept := from.Clone()
	for _, name := range []string{headerRequestID, "Via", "Connection", "Date"} {
		kept.Del(name)
	}
	return kept
}

var _ io.Reader = (*roundtrip.Response)(nil)
