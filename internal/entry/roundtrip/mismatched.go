package roundtrip

import (
	"io"
	"net/http"
	"slices"
)

// maxMismatchedBodyBytes limits how much of the body of a response to another request is read and discarded.
const maxMismatchedBodyBytes = 1 << 20

// isMismatched reports whether a final response belongs to another request.
func (r *Request) isMismatched(httpResponse *http.Response) bool {
	if r.EchoName == "" || httpResponse.StatusCode < http.StatusOK {
		return false
	}
	other := func(value string) bool { return value != r.EchoValue }
	return slices.ContainsFunc(httpResponse.Header[r.EchoName], other)
}

// isUnattributed reports whether a final response does not say to which request it belongs. On a connection
// that has served another request it may be a late copy of the former response.
func (r *Request) isUnattributed(httpResponse *http.Response) bool {
	return r.EchoName != "" && httpResponse.StatusCode >= http.StatusOK && len(httpResponse.Header[r.EchoName]) == 0
}

// discardMismatched reads a response to another request to its end, so that the response behind it can be
// read. It fails if the response ends with the connection or is too long: the next status line must not be looked for
// inside it. Responses on a connection for HEAD requests have no body.
func discardMismatched(httpResponse *http.Response, forHead bool) error {
	if forHead {
		return nil
	}
	if httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 {
		return ErrMismatchedResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxMismatchedBodyBytes+1))
	if err == nil && n > maxMismatchedBodyBytes {
		return ErrMismatchedResponse
	}
	return err
}
