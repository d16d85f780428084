package roundtrip

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRefusals is how many refused requests a connection remembers. It is closed after that many.
const maxRefusals = 64

// refusals remembers the requests that a server refused on one connection, by the hash of their ids. The server may send
// a refusal once more, and if the request were under way again on that connection, the copy would be taken for its
// response. Two ids with the same hash cost a connection and nothing else.
type refusals struct {
	hashes []uint64
}

// add records a refused request. It returns false if the connection can remember no further one.
func (f *refusals) add(id string) bool {
	f.hashes = append(f.hashes, xxhash.Sum64String(id))
	return len(f.hashes) < maxRefusals
}

func (f *refusals) contains(id string) bool {
	return len(f.hashes) > 0 && slices.Contains(f.hashes, xxhash.Sum64String(id))
}
