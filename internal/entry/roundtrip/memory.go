package roundtrip

import (
	"bytes"
	"sync/atomic"
)

const (
	// DefaultMemory is the memory for responses beyond what each may take, in bytes.
	DefaultMemory = 64 << 20
	// freeHeaderBytes is the size up to which the headers of a response do not count against Memory.
	freeHeaderBytes = 16 << 10
	// fieldOverheadBytes is the memory that a header field takes besides its name and value.
	fieldOverheadBytes = 256
)

// Memory bounds the memory that messages of one kind take together, such as the responses of all backend servers: each
// may take a little without asking, and more only while there is some left. So faulty peers that send without end fail
// their own requests, and not the process. It is safe for concurrent use.
type Memory struct {
	left atomic.Int64
}

// NewMemory returns a Memory of the given size in bytes.
func NewMemory(size int64) *Memory {
	m := &Memory{}
	m.left.Store(size)
	return m
}

// Reserve takes n bytes. It reports false, and takes nothing, if there are fewer.
func (m *Memory) Reserve(n int64) bool {
	if m.left.Add(-n) < 0 {
		m.left.Add(n)
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (m *Memory) Release(n int64) {
	m.left.Add(n)
}

// headerMeter counts what the headers of one response take. The bytes of a Read count with the next one, since only
// then it is known that they belong to headers and not to the body behind them.
type headerMeter struct {
	memory *Memory
	// reading is set while headers are read.
	reading bool
	// cost is the memory of the headers so far, and reserved the part of it that counts against memory.
	cost, reserved int64
	// lastCost is the cost of the last Read.
	lastCost int64
}

// begin starts the headers of a response.
func (h *headerMeter) begin() {
	h.reading, h.cost, h.lastCost = true, 0, 0
}

// end ends the headers. What is reserved stays so until release.
func (h *headerMeter) end() {
	h.reading = false
}

// pause ends the headers of a response that is skipped. The last Read may have been its body in part, so it is not counted.
func (h *headerMeter) pause() {
	h.reading, h.lastCost = false, 0
}

// resume continues with the headers of the response behind it.
func (h *headerMeter) resume() {
	h.reading = true
}

// next counts the last Read and returns how many bytes the next one may have.
func (h *headerMeter) next() (limit int64, err error) {
	h.cost += h.lastCost
	h.lastCost = 0
	if h.cost >= MaxResponseHeaderBytes {
		return 0, ErrHeaderTooLarge
	}
	if missing := h.cost - freeHeaderBytes - h.reserved; missing > 0 {
		if !h.memory.Reserve(missing) {
			return 0, ErrNoMemory
		}
		h.reserved += missing
	}
	return MaxResponseHeaderBytes - h.cost, nil
}

func (h *headerMeter) read(p []byte) {
	h.lastCost = int64(len(p)) + fieldOverheadBytes*int64(bytes.Count(p, []byte{'\n'}))
}

// release returns what was reserved.
func (h *headerMeter) release() {
	h.memory.Release(h.reserved)
	h.reserved = 0
}
