// Package storage owns the data that the controllers keep in the state service, and the
// requests that read and write it: who holds the leader key and the shards, the jobs of each
// shard with their finished tasks, the machines that may have been given tasks, and the
// division of teams' quotas among the shards.
//
// It guarantees three things. Requests of one process stay within its share of the service's
// rates; those that users wait for go first. Every write to a shard is a compare-and-swap on
// the version of the shard's key, so that nothing of a former holder is applied once another
// process holds the shard, and the outcome of a write without an answer is determined before
// the next write is sent. Recover returns every job from the acknowledgement of its creation
// until the acknowledgement of its end, with all finished tasks that were acknowledged.
//
// The package never acquires or renews a shard or the leader key on its own, starts no
// goroutine and has no clock of its own. Nothing in it is safe for concurrent use: the
// goroutine that owns the controller's state calls it and runs its callbacks.
package storage
