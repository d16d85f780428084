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
	headerCallerKey = "Tarragon-Key"
	headerKey       = "Idempotency-Key"
	headerState     = "Tarragon-State"
	headerOutcome   = "Tarragon-Outcome"
	headerRateLimit = "Tarragon-Rate-Limit"

	// headerPrefix is the prefix of headers that callers and backend servers address to the proxy itself.
	// They are not passed on.
	headerPrefix  = "Tarragon-"
	stateDraining = "draining"
	outcomeNotRun = "not-run"
	// viaName is the fleet's pseudonym in Via headers. It is used to detect loops.
	viaName  = "tarragonmux"
	viaValue = "1.1 " + viaName
)

// isHopByHop reports whether the header with the canonical name applies to a single connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// connectionOptions returns the canonical header names listed in Connection headers.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// singleValue returns the only value of a header, or "" if there is none. ok is false if there are
// several.
func singleValue(h http.Header, name string) (value string, ok bool) {
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

// printable reports whether the text consists of 1 to limit printable ASCII characters, including spaces.
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
