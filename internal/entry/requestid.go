package entry

import (
	"context"
	"encoding/hex"
	"math/rand/v2"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// requestID assigns each request an id, which is returned to the caller and passed on to the
// backend server.
type requestID struct {
	next    Filter
	dialect *Dialect
}

func newRequestID(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &requestID{next: next, dialect: cfg.Dialect}, nil
}

// Handle uses the caller's id, or generates one if there is none and the dialect does not require it.
// It refuses a malformed id.
func (f *requestID) Handle(x *Exchange) error {
	id, ok := singleValue(x.r.Header, f.dialect.RequestID)
	if !ok || id != "" && !printable(id, MaxIDBytes) || id == "" && f.dialect.RequireID {
		x.id = newID()
		return problem.New(problem.BadRequest, problem.NotRun, f.dialect.RequestID+" must be one value of at most 128 printable ASCII characters")
	}
	if id == "" {
		id = newID()
	}
	x.id = id
	return f.next.Handle(x)
}

// newID returns 128 random bits in hexadecimal.
func newID() string {
	var raw [16]byte
	var text [32]byte
	high, low := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		raw[i] = byte(high >> (8 * i))
		raw[8+i] = byte(low >> (8 * i))
	}
	hex.Encode(text[:], raw[:])
	return string(text[:])
}
