package entry

import (
	"net/http"
	"strings"
)

// Headers that the proxy reads or sets.
const (
	headerRequestID = "Request-Id"
	headerTimeout   = "Grpc-Timeout"
	headerTeam      = "Tarragon-Team"
	headerKey       = "Idempotency-Key"
	headerState     = "Tarragon-State"
	headerOutcome   = "Tarragon-Outcome"

	// headerPrefix marks the headers between callers, proxy and backend servers; none is passed on.
	headerPrefix = "Tarragon-"
	stateDrain   = "draining"
	outcomeNot   = "not-run"
	// viaName is the pseudonym of the fleet in Via headers; it detects loops.
	viaName  = "tarragonmux"
	viaValue = "1.1 " + viaName
)

// hopByHop tells whether the canonical header name ends at each connection.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// connectionNames returns the canonical names that Connection headers list.
func connectionNames(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// single returns the only value of a header or "" if there is none; ok is false if there are several.
func single(h http.Header, name string) (value string, ok bool) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", true
	case 1:
		return values[0], true
	default:
		return "", false
	}
}

// printable tells whether the text has 1 to limit visible ASCII characters or inner spaces.
func printable(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
