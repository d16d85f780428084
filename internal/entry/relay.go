package entry

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// viaHeader is shared by all answers and never changed.
var viaHeader = []string{viaValue}

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// relay sends the winner's answer to the caller. If it breaks off, the caller's connection breaks too.
func relay(x, winner *Exchange) error {
	a := winner.answer
	x.mayHaveRun = true
	copyAnswerHeader(x, a.Header)
	if x.claim != nil {
		x.record = &attempt.Answer{Status: a.Status, Header: recordedHeader(x.w.Header())}
	}
	x.begun = true
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if winner.fetched {
		return relayFetched(x, winner)
	}
	return relayStream(x, winner)
}

func relayFetched(x, winner *Exchange) error {
	x.keep(winner.whole)
	if len(winner.whole) == 0 {
		return nil
	}
	if _, err := x.w.Write(winner.whole); err != nil {
		return x.callerLeft()
	}
	return nil
}

// callerLeft keeps the record of an answer that was whole although the caller did not take it.
func (x *Exchange) callerLeft() error {
	if x.record != nil {
		return nil
	}
	return errCallerGone
}

func relayStream(x, winner *Exchange) error {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	flusher := http.NewResponseController(x.w)
	if len(winner.whole) > 0 {
		x.keep(winner.whole)
		if _, err := x.w.Write(winner.whole); err != nil {
			winner.complete(grant.Cancelled)
			return errCallerGone
		}
	}
	for {
		n, readErr := winner.answer.Read(buffer[:])
		if n > 0 {
			x.keep(buffer[:n])
			if _, err := x.w.Write(buffer[:n]); err != nil {
				winner.complete(grant.Cancelled)
				return errCallerGone
			}
		}
		if readErr == io.EOF {
			winner.complete(resultOf(winner.answer.Status))
			return nil
		}
		if readErr != nil {
			winner.complete(resultOfEnd(x.ctx, readErr, grant.Broken))
			return errBroken
		}
		if winner.answer.Length < 0 {
			// Chunks of unknown number may be a live stream. An error shows at the next write.
			_ = flusher.Flush()
		}
	}
}

// keep adds a part of the answer to the record of claimed work.
func (x *Exchange) keep(part []byte) {
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

// copyAnswerHeader passes on the end-to-end headers of an answer.
func copyAnswerHeader(x *Exchange, from http.Header) {
	to := x.w.Header()
	listed := connectionNames(from)
	for name, values := range from {
		if hopByHop(name) || x.dialect.Private(name) || name == x.dialect.RequestID || slices.Contains(listed, name) {
			continue
		}
		to[name] = values
	}
	if x.unread() {
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

// recordedHeader copies what a replay sends again; the rest belongs to one answer only.
func recordedHeader(from http.Header) http.Header {
	kept := from.Clone()
	for _, name := range []string{headerRequestID, "Via", "Connection", "Date"} {
		kept.Del(name)
	}
	return kept
}

// retryAfter returns the wait that a server asked for, in whole seconds; 0 if it asked for none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

var _ io.Reader = (*roundtrip.Response)(nil)
