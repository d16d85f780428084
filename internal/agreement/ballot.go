package agreement

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// ballot orders proposals by round and, within a round, by proposer. The zero ballot is the fast
// round, which all proposers share.
type ballot struct {
	round    uint64
	proposer string
}

func (b ballot) less(o ballot) bool {
	if b.round != o.round {
		return b.round < o.round
	}
	return b.proposer < o.proposer
}

func ballotOf(m *agreementpb.Ballot) ballot {
	return ballot{round: m.GetRound(), proposer: m.GetProposer()}
}

// message encodes the ballot. The zero ballot is nil, which saves bytes on the wire and on disk.
func (b ballot) message() *agreementpb.Ballot {
	if b == (ballot{}) {
		return nil
	}
	return &agreementpb.Ballot{Round: b.round, Proposer: b.proposer}
}

// registerKey returns the key of a register, which has the form prefix/index.
func registerKey(prefix string, index uint64) string {
	return prefix + "/" + strconv.FormatUint(index, 10)
}

// parseKey splits a register key into the prefix of its chain and the index.
func parseKey(key string) (prefix string, index uint64, err error) {
	at := strings.LastIndexByte(key, '/')
	if at <= 0 {
		return "", 0, errors.Errorf("register key %q has no index; use prefix/index", key)
	}
	index, err = strconv.ParseUint(key[at+1:], 10, 64)
	if err != nil || index == 0 {
		return "", 0, errors.Errorf("register key %q has no index from 1; use prefix/index", key)
	}
	return key[:at], index, nil
}
