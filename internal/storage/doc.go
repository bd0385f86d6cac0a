// Package storage owns what the controllers keep in the state service and the
// requests that read and write it: who holds the leader key and the shards, the
// jobs of each shard with their finished tasks, the machines that may have been
// given tasks, and the division of teams' quotas.
//
// It promises three things. Requests of one process stay within its share of the
// service's rates, those that users wait for first. A write to a shard is a
// compare-and-swap on the version of the shard's key, so that nothing of a former
// holder is applied once another holds the shard, and a write without an answer
// has a certain outcome before the next is sent. Recover returns every job whose
// creation was acknowledged, until its end was acknowledged, with all finished
// tasks that were acknowledged.
//
// It never acquires or keeps a shard or the leader key by itself, starts no
// goroutine and has no clock of its own. Nothing in it is safe for concurrent use:
// the goroutine that owns the controller's state calls it and receives its
// callbacks.
package storage
