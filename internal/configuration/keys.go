package configuration

import (
	"crypto/sha256"
	"maps"

	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// KeyDigestBytes is the length of the digest of a key. 128 bits leave no chance of a second key with the same
	// digest, and halve what 60,000 teams take in the document compared with the whole SHA-256.
	KeyDigestBytes = 16
	// MaxKeyBytes is the longest key that a caller may send.
	MaxKeyBytes = 256
)

// keyDigest identifies a key in memory and in the document. Keys are random, so a fast digest without a salt suffices:
// it cannot be reversed by trying likely keys.
type keyDigest [KeyDigestBytes]byte

// DigestKey returns the digest of a key as the document holds it.
func DigestKey(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:KeyDigestBytes]
}

// digestKey returns the digest of a key of at most MaxKeyBytes without allocating.
func digestKey(key string) (d keyDigest) {
	var buffer [MaxKeyBytes]byte
	sum := sha256.Sum256(buffer[:copy(buffer[:], key)])
	return keyDigest(sum[:KeyDigestBytes])
}

// keyTable maps digests of keys to the ids of teams. It is split into shards like teamTable, so that a change of one
// team copies only the shards of its keys.
type keyTable struct {
	shards *[teamShards]map[keyDigest]string
}

func keyShardOf(d keyDigest) int { return int(d[0]) % teamShards }

func compileKeys(teams []*configpb.Team) keyTable {
	t := keyTable{shards: &[teamShards]map[keyDigest]string{}}
	for _, team := range teams {
		t.add(team)
	}
	return t
}

func (t *keyTable) add(team *configpb.Team) {
	for _, digest := range team.GetKeyDigests() {
		d := keyDigest(digest)
		shard := &t.shards[keyShardOf(d)]
		if *shard == nil {
			*shard = map[keyDigest]string{}
		}
		(*shard)[d] = team.GetId()
	}
}

// withTeamReplaced returns a table with the keys of one team replaced. Either team may be nil.
func (t keyTable) withTeamReplaced(old, next *configpb.Team) keyTable {
	if len(old.GetKeyDigests()) == 0 && len(next.GetKeyDigests()) == 0 {
		return t
	}
	shards := *t.shards
	copied := [teamShards]bool{}
	own := func(d keyDigest) map[keyDigest]string {
		i := keyShardOf(d)
		if !copied[i] {
			shards[i] = maps.Clone(shards[i])
			copied[i] = true
		}
		return shards[i]
	}
	for _, digest := range old.GetKeyDigests() {
		delete(own(keyDigest(digest)), keyDigest(digest))
	}
	for _, digest := range next.GetKeyDigests() {
		own(keyDigest(digest))
	}
	result := keyTable{shards: &shards}
	if next != nil {
		result.add(next)
	}
	return result
}

// RequiresKeys reports whether requests of routes that are not public need the key of a team.
func (s *Snapshot) RequiresKeys() bool { return s.document.GetRequiresKeys() }

// TeamOfKey returns the team that holds the key; ok is false if there is none.
func (s *Snapshot) TeamOfKey(key string) (team route.Team, ok bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return route.Team{}, false
	}
	d := digestKey(key)
	id, ok := s.keys.shards[keyShardOf(d)][d]
	if !ok {
		return route.Team{}, false
	}
	return s.teams.get(id), true
}
