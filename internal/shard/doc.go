// Package shard is the owner's side of supervision: it owns the unfinished jobs of the
// shards that this member holds. A shard is the jobs of one member with their records;
// its owner is the process that holds the shard's key, its fencing token the version
// that the key was taken with.
//
// The package owns, for each task, its state, its replica number, and the paper's
// location (section 4.2: OnNode is TaskPlaced, InTransition is TaskAssigned); the table
// of machines as last heard of on the leader's stream; how far the leader counts each
// shard; the circuit breakers and pauses of jobs whose tasks fail; and the orphaned
// replicas of jobs that have ended.
//
// It promises:
//   - A task has at most one replica that counts, the one with the highest replica
//     number, and no result of another is taken.
//   - A task gets its next replica only once the one before is proven lost, see
//     lossReason. Silence, a stream that ended, or a status that may be incomplete
//     proves nothing.
//   - Recovered tasks of which no machine has told are started only once the leader says
//     that every machine has been heard (reconciliation).
//   - Replica numbers go up from holder to holder of a shard.
//   - Every replica is admitted against its team's limit before it may start (package
//     admission), and counts until it is proven lost.
//   - A job is told as ended only once its end is durable.
//
// It does no I/O and has no clock of its own: records, the leader's stream and the final
// statuses are narrow interfaces, and what it is told arrives by calls. It never chooses
// machines (the scheduler does), never holds the key of a shard (the election does), and
// never tells whose frames count (the controller does).
//
// Nothing in it is safe for concurrent use: the goroutine that owns the controller's
// state calls it and receives its callbacks.
package shard
