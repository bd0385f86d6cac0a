package storage

import (
	"encoding/hex"
	"strconv"
	"strings"
)

// MaxKeyLength is how long a key of the state service may be, in bytes.
const MaxKeyLength = 200

// WatchedPrefix is what every key starts with that a watch must see: the leader key,
// shard keys, process keys and quota records.
const WatchedPrefix = "m/"

// LeaderKey names the member that leads. Its version is the leader's fencing token.
const LeaderKey = WatchedPrefix + "leader"

// QuotaPrefix is where the divisions of teams' quotas lie.
const QuotaPrefix = WatchedPrefix + "quota/"

// What keys of the other records start with. The words are those of the first
// versions, whose records are still read.
const (
	shardPrefix         = WatchedPrefix + "ledger/"
	processPrefix       = WatchedPrefix + "member/"
	jobPrefix           = "job/"
	descriptionPrefix   = "own/"
	finishedTaskPrefix  = "done/"
	machineRecordPrefix = "fleet/"
)

// ShardKey is the key that names a shard's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// ShardOfKey is the inverse of ShardKey.
func ShardOfKey(key string) (shard string, ok bool) { return strings.CutPrefix(key, shardPrefix) }

// ProcessKey is the key that names a member's present process. Every claim of a
// key carries a condition on its version, so that a claim of an earlier process,
// held by the network, can never be applied once the next one has written it.
func ProcessKey(member string) string { return processPrefix + member }

// MemberOfProcessKey is the inverse of ProcessKey.
func MemberOfProcessKey(key string) (member string, ok bool) {
	return strings.CutPrefix(key, processPrefix)
}

// JobKey is the key under which any member finds a job's record.
func JobKey(id string) string { return jobPrefix + id }

// QuotaKey is the key of a team's quota record. Keys have no spaces and are part of
// a path, so names are written in hexadecimal.
func QuotaKey(team string) string { return QuotaPrefix + hex.EncodeToString([]byte(team)) }

// TeamOfQuotaKey is the inverse of QuotaKey.
func TeamOfQuotaKey(key string) (team string, ok bool) {
	name, ok := strings.CutPrefix(key, QuotaPrefix)
	if !ok {
		return "", false
	}
	decoded, err := hex.DecodeString(name)
	return string(decoded), err == nil
}

// machineRecordKey is the key of a leader's n-th record of machines.
func machineRecordKey(fencingToken uint64, number int) string {
	return machineRecordPrefix + strconv.FormatUint(fencingToken, 10) + "-" + strconv.Itoa(number)
}

// descriptionPagesPrefix is what the keys of a shard's description pages start with.
func descriptionPagesPrefix(shard string) string { return descriptionPrefix + shard + "/" }

// descriptionPageKey is the key of a shard's n-th description page.
func descriptionPageKey(shard string, number int) string {
	return descriptionPagesPrefix(shard) + strconv.Itoa(number)
}

// singleDescriptionKey is the key of one job's description as versions before 0.3
// wrote it.
func singleDescriptionKey(shard, jobID string) string { return descriptionPagesPrefix(shard) + jobID }

// finishedTaskPagesPrefix is what the keys of a shard's finished-task pages start with.
func finishedTaskPagesPrefix(shard string) string { return finishedTaskPrefix + shard + "/" }

// finishedTaskPageKey is the key of a shard's n-th finished-task page.
func finishedTaskPageKey(shard string, number int) string {
	return finishedTaskPagesPrefix(shard) + strconv.Itoa(number)
}

// pageNumber is the number of the page under a key with a prefix.
func pageNumber(key, prefix string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, prefix))
}
