package shard

import (
	"strconv"
	"strings"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
)

// Names of shards consist of the service, separator, the index, countSeparator and the number of shards.
// Neither separator is valid in the name of a service.
const (
	separator      = "#"
	countSeparator = "/"
)

// Shard is one part of the work of a service.
type Shard struct {
	Service string
	// Index counts from 0; Count is the number of shards, at least 1.
	Index, Count int
}

// All returns the shards of a service. A count below 1 means 1.
func All(service string, count int) []Shard {
	shards := make([]Shard, max(count, 1))
	for i := range shards {
		shards[i] = Shard{Service: service, Index: i, Count: len(shards)}
	}
	return shards
}

// Of returns the shard of a backend server or node, by its id.
func Of(service, id string, count int) Shard {
	best, highest := 0, uint64(0)
	for i := range count {
		if score := hostset.Score(strconv.Itoa(i), id); score > highest {
			best, highest = i, score
		}
	}
	return Shard{Service: service, Index: best, Count: max(count, 1)}
}

// Owns reports whether the shard is that of the backend server or node with the id.
func (s Shard) Owns(id string) bool {
	return s.Count <= 1 || Of(s.Service, id, s.Count).Index == s.Index
}

// String returns the name under which the dispatcher of the shard is elected.
func (s Shard) String() string {
	if s.Count <= 1 {
		return s.Service
	}
	return s.Service + separator + strconv.Itoa(s.Index) + countSeparator + strconv.Itoa(s.Count)
}

// ServiceOf returns the service of the shard with the name. The name of a service is its own.
func ServiceOf(name string) string {
	service, _, _ := strings.Cut(name, separator)
	return service
}
