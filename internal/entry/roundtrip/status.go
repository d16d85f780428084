package roundtrip

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

const (
	// minStatus and maxStatus bound the statuses of HTTP responses (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error if the head of the message cannot be that of a response: its status is outside 100 to 599,
// or it is informational and announces a body. RFC 9110 forbids both Content-Length and Transfer-Encoding with an
// informational status. The bytes behind such a head must not be parsed: they may look like a response.
func checkStatus(httpResponse *http.Response) error {
	status := httpResponse.StatusCode
	if status < minStatus || status > maxStatus {
		return ErrInvalidStatus
	}
	if status >= http.StatusOK {
		return nil
	}
	_, hasLength := httpResponse.Header["Content-Length"]
	if hasLength || len(httpResponse.TransferEncoding) > 0 || status == http.StatusSwitchingProtocols {
		return ErrInformationalStatus
	}
	return nil
}

// gluedStatusLine matches a status line directly behind other text. Headers that speak of responses have a space before it.
var gluedStatusLine = regexp.MustCompile(`\SHTTP/1\.[01] [1-5][0-9][0-9]`)

// isMerged reports whether the head of the message holds the beginning of another one: a server began a response, broke it
// off, and wrote the next one behind it. The status and some headers then belong to the first, the others to the second.
func isMerged(httpResponse *http.Response) bool {
	if strings.Contains(httpResponse.Status, "HTTP/1.") {
		return true
	}
	for _, values := range httpResponse.Header {
		if slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, "HTTP/1.") && gluedStatusLine.MatchString(v) }) {
			return true
		}
	}
	return false
}
