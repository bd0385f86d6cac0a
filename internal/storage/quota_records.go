package storage

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// TransferQuota writes a change of teams' quota records. It is applied only if the records and
// the shard keys still have the versions on which the change is based.
func (s *Store) TransferQuota(transfer *quota.Transfer, done func(TxnResult)) {
	var t protocol.Transaction
	for shard, version := range transfer.KeyVersions {
		t.If = append(t.If, protocol.Condition{Key: ShardKey(shard), Version: version})
	}
	for _, change := range transfer.Teams {
		key := QuotaKey(change.Team)
		t.If = append(t.If, protocol.Condition{Key: key, Version: change.Version})
		t.Then = append(t.Then, protocol.Change{Put: key, Value: s.codec.Encode(change.Record)})
	}
	s.Txn(Foreground, t, done)
}

// QuotaRecords reads all teams' quota records.
func (s *Store) QuotaRecords(done func(items []protocol.KeyValue, err error)) {
	s.List(QuotaPrefix, func(items []protocol.KeyValue, _ uint64, err error) { done(items, err) })
}
