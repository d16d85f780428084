package entry

import (
	"io"
	"sync"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

const (
	// initialBodyBytes is the first size of the buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// freeBodyBytes is the size up to which a buffered response body does not count against the memory for responses.
	freeBodyBytes = 16 << 10
	// freeKeptBytes is the same for a request body and the memory for kept request bodies. It is small, since 4,096 requests
	// in flight can hold that much each in addition.
	freeKeptBytes = initialBodyBytes
)

// heldMemory is what the buffered bodies of one request take of a memory that all requests share: the response bodies of
// the memory for responses, and the request body of that for kept request bodies. All attempts share it. The memory for
// responses is returned when the request ends: a caller that reads slowly still holds the body of a complete response.
type heldMemory struct {
	memory *roundtrip.Memory
	// free is the size in bytes up to which a body does not count.
	free int

	mu       sync.Mutex
	reserved int64
	ended    bool
}

// reserve reports false if there is not enough memory left, or if the request has ended meanwhile.
func (h *heldMemory) reserve(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.memory.Reserve(n) {
		return false
	}
	h.reserved += n
	return true
}

// end returns all that was reserved.
func (h *heldMemory) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.memory.Release(h.reserved)
	h.reserved = 0
}

// readWithin reads up to limit bytes, and one more to learn whether there are more. It stops earlier if the shared memory
// is used up. complete reports whether the end was reached within the limit.
func (h *heldMemory) readWithin(r io.Reader, limit int) (read []byte, complete bool, err error) {
	read = make([]byte, 0, min(initialBodyBytes, limit+1))
	for len(read) <= limit {
		if len(read) == cap(read) {
			size := min(2*cap(read), limit+1)
			if extra := size - max(cap(read), h.free); extra > 0 && !h.reserve(int64(extra)) {
				return read, false, nil
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, len(read) <= limit, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return read, false, nil
}
