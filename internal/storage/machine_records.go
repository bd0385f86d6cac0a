package storage

import "github.com/cobaltvale/cobaltvale/internal/protocol"

// RecordMachines writes the names of machines that may be given tasks under a new key, which the
// fencing token and the number determine. The write is applied only while the leader key has the
// fencing token as its version. One that gets no answer may be repeated with the same names.
func (s *Store) RecordMachines(fencingToken uint64, number int, names []string, done func(key string, r TxnResult)) {
	key := machineRecordKey(fencingToken, number)
	change := protocol.Change{Put: key, Value: s.codec.Encode(names)}
	s.writeAsLeader(Foreground, fencingToken, change, func(r TxnResult) { done(key, r) })
}

// RewriteMachineRecord reduces a record to the given machines, or deletes it if there are none. An
// earlier write of the record that got no answer may be applied afterwards; the record then names
// machines again that are gone.
func (s *Store) RewriteMachineRecord(fencingToken uint64, key string, names []string, done func(TxnResult)) {
	change := protocol.Change{Put: key, Value: s.codec.Encode(names)}
	if len(names) == 0 {
		change = protocol.Change{Delete: key}
	}
	s.writeAsLeader(Background, fencingToken, change, done)
}

// writeAsLeader makes a change only while the leader key has the fencing token as its version.
func (s *Store) writeAsLeader(class Class, fencingToken uint64, change protocol.Change, done func(TxnResult)) {
	s.Txn(class, protocol.Transaction{
		If:   []protocol.Condition{{Key: LeaderKey, Version: fencingToken}},
		Then: []protocol.Change{change},
	}, done)
}

// MachineRecords reads the names of all recorded machines, by the key of the record, as of a
// revision. err is ErrNoAnswer, or ErrUnreadableRecords if some record could not be read.
func (s *Store) MachineRecords(done func(records map[string][]string, revision uint64, err error)) {
	s.List(machineRecordPrefix, func(items []protocol.KeyValue, revision uint64, err error) {
		records := make(map[string][]string, len(items))
		for _, it := range items {
			names, decodeErr := s.codec.DecodeTexts(it.Value)
			if err == nil && decodeErr != nil {
				err = ErrUnreadableRecords
			}
			records[it.Key] = names
		}
		done(records, revision, err)
	})
}
