package storage

import (
	"encoding/hex"
	"strings"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// QuotaPrefix is where the divisions of teams' limits lie. It is under MemberPrefix,
// so that the watch that every member has shows them.
const QuotaPrefix = MemberPrefix + "quota/"

// MaxKeyLength is how long a key of the state service may be.
const MaxKeyLength = 200

// QuotaKey is the key of a team's record. Keys have no spaces and are part of a
// path, so names are written in hexadecimal.
func QuotaKey(team string) string { return QuotaPrefix + hex.EncodeToString([]byte(team)) }

// TeamOfQuotaKey is the inverse of QuotaKey.
func TeamOfQuotaKey(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, QuotaPrefix)
	if !ok {
		return "", false
	}
	team, err := hex.DecodeString(name)
	return string(team), err == nil
}

// TransferQuota carries a change of teams' records out, if the records and the
// ledger keys still have the stamps that the change goes by.
func (s *Store) TransferQuota(transfer *quota.Transfer, done func(TxnResult)) {
	var t protocol.Transaction
	for shard, version := range transfer.Fences {
		t.If = append(t.If, protocol.Condition{Key: ShardKey(shard), Version: version})
	}
	for _, change := range transfer.Teams {
		t.If = append(t.If, protocol.Condition{Key: QuotaKey(change.Team), Version: change.Version})
		t.Then = append(t.Then, protocol.Change{Put: QuotaKey(change.Team), Value: s.codec.Encode(change.Record)})
	}
	s.Txn(Foreground, t, done)
}

// QuotaRecords reads all teams' records.
func (s *Store) QuotaRecords(done func(items []protocol.KeyValue, err error)) {
	s.List(QuotaPrefix, func(items []protocol.KeyValue, _ uint64, err error) { done(items, err) })
}
