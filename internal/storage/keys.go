package storage

import (
	"encoding/hex"
	"strconv"
	"strings"
)

// MaxKeyLength is the maximum length of a key of the state service, in bytes.
const MaxKeyLength = 200

// WatchedPrefix is the prefix of all keys that a watch must see: the leader key, shard keys,
// process keys and quota records.
const WatchedPrefix = "m/"

// LeaderKey is the key that names the member that leads. Its version is the leader's fencing
// token.
const LeaderKey = WatchedPrefix + "leader"

// QuotaPrefix is the prefix of the quota records, which divide teams' quotas among the shards.
const QuotaPrefix = WatchedPrefix + "quota/"

// Prefixes of the keys of the other records. Their words are those of the first versions, whose
// records are still read.
const (
	shardPrefix         = WatchedPrefix + "ledger/"
	processPrefix       = WatchedPrefix + "member/"
	jobPrefix           = "job/"
	descriptionPrefix   = "own/"
	finishedTaskPrefix  = "done/"
	machineRecordPrefix = "fleet/"
)

// ShardKey returns the key that names a shard's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// ShardOfKey is the inverse of ShardKey.
func ShardOfKey(key string) (shard string, ok bool) { return strings.CutPrefix(key, shardPrefix) }

// ProcessKey returns the key that names a member's current process. Every claim of a key has a
// condition on the version of this one, so that a claim of an earlier process which the network
// delayed can never be applied once the next process has written its key.
func ProcessKey(member string) string { return processPrefix + member }

// MemberOfProcessKey is the inverse of ProcessKey.
func MemberOfProcessKey(key string) (member string, ok bool) {
	return strings.CutPrefix(key, processPrefix)
}

// JobKey returns the key under which any member finds a job's record.
func JobKey(id string) string { return jobPrefix + id }

// QuotaKey returns the key of a team's quota record. Keys have no spaces and are part of a URL
// path, so names are encoded in hexadecimal.
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

// machineRecordKey returns the key of a leader's n-th machine record.
func machineRecordKey(fencingToken uint64, number int) string {
	return machineRecordPrefix + strconv.FormatUint(fencingToken, 10) + "-" + strconv.Itoa(number)
}

// descriptionPagesPrefix returns the prefix of the keys of a shard's description pages.
func descriptionPagesPrefix(shard string) string { return descriptionPrefix + shard + "/" }

// descriptionPageKey returns the key of a shard's n-th description page.
func descriptionPageKey(shard string, number int) string {
	return descriptionPagesPrefix(shard) + strconv.Itoa(number)
}

// singleDescriptionKey returns the key of one job's description as versions before 0.3 wrote
// it.
func singleDescriptionKey(shard, jobID string) string { return descriptionPagesPrefix(shard) + jobID }

// finishedTaskPagesPrefix returns the prefix of the keys of a shard's finished-task pages.
func finishedTaskPagesPrefix(shard string) string { return finishedTaskPrefix + shard + "/" }

// finishedTaskPageKey returns the key of a shard's n-th finished-task page.
func finishedTaskPageKey(shard string, number int) string {
	return finishedTaskPagesPrefix(shard) + strconv.Itoa(number)
}

// pageNumber returns the number of the page under a key with the given prefix.
func pageNumber(key, prefix string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, prefix))
}
