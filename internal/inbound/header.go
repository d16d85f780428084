package inbound

import (
	"bytes"
	"net/http"
)

// headerEnd finds empty lines, which end a header, in what is read one after the other. It may find one too early, as
// net/http skips empty lines before some requests, but none too late.
type headerEnd struct {
	// newline is set if the last byte was a line feed, and carriage if a carriage return followed it.
	newline, carriage bool
}

// find returns how many bytes follow the first empty line that ends in p.
func (e *headerEnd) find(p []byte) (behind int, found bool) {
	if len(p) == 0 {
		return 0, false
	}
	at := e.emptyLine(p)
	last, before := p[len(p)-1], e.newline
	if len(p) > 1 {
		before = p[len(p)-2] == '\n'
	}
	e.newline, e.carriage = last == '\n', last == '\r' && before
	return len(p) - at, at >= 0
}

// emptyLine returns the index behind the first empty line, or -1.
func (e *headerEnd) emptyLine(p []byte) int {
	switch {
	case p[0] == '\n' && (e.newline || e.carriage):
		return 1
	case e.newline && bytes.HasPrefix(p, []byte("\r\n")):
		return 2
	}
	at := -1
	for _, empty := range [...]string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(p, []byte(empty)); i >= 0 && (at < 0 || i+len(empty) < at) {
			at = i + len(empty)
		}
	}
	return at
}

// parsedCost returns the cost of a header that was parsed.
func parsedCost(r *http.Request) int64 {
	cost := fieldBytes + int64(len(r.Method)+len(r.RequestURI)+len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			cost += fieldBytes + int64(len(name)+len(v))
		}
	}
	return cost
}
