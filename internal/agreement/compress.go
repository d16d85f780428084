package agreement

import (
	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
)

// compress returns the compressed value, or nil if the value is small or does not shrink. A proposer holds and sends a
// value once for each member, and the routes of a configuration resemble each other.
func compress(value []byte) []byte {
	if len(value) < largeValueBytes {
		return nil
	}
	compressed := s2.Encode(nil, value)
	if len(compressed) >= len(value) {
		return nil
	}
	return compressed
}

// decompress returns the value that was compressed.
func decompress(compressed []byte) ([]byte, error) {
	size, err := s2.DecodedLen(compressed)
	if err != nil {
		return nil, errors.Wrap(err, "a compressed value cannot be read; check the sender")
	}
	if size > MaxValueBytes {
		return nil, errors.Errorf("value of %d bytes exceeds %d; store a smaller value", size, MaxValueBytes)
	}
	value, err := s2.Decode(nil, compressed)
	return value, errors.Wrap(err, "a compressed value cannot be read; check the sender")
}
