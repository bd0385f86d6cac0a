// Package shard implements the owner's side of supervision: it owns the unfinished jobs of the
// shards that this process holds. A shard is the jobs of one member with their records;
// its owner is the process that holds the shard's key, and its fencing token is the
// version of the key at its acquisition.
//
// The package owns, for each task, its state, its replica number and its location; the
// table of machines as last reported on the leader's stream; the state of each shard's
// registration with the leader; the circuit breakers and back-offs of jobs whose tasks
// fail; and the orphaned replicas of jobs that have ended. In terms of section 4.2 of the
// paper that docs/design.md names, TaskPlaced is OnNode and TaskAssigned is InTransition.
//
// It guarantees:
//   - A task has at most one current replica, the one with the highest replica number.
//     Results of its other replicas are ignored.
//   - A task gets its next replica only once the previous one is proven lost, see
//     lossReason. Silence, the end of a stream, or a status that may be incomplete proves
//     nothing.
//   - Recovered tasks that no machine has listed are started only once the leader reports
//     that every machine has been heard from (reconciliation).
//   - Replica numbers increase from holder to holder of a shard.
//   - Every replica is admitted against its team's limit before it may start (package
//     admission), and counts against the limit until it is proven lost.
//   - A job is reported as ended only once its end is durable.
//
// It does no I/O and has no clock of its own: it reaches the records, the leader's stream
// and the final statuses through narrow interfaces, and receives events as calls. It does
// not choose machines (the scheduler does), hold the keys of shards (the election does),
// or decide whose frames are accepted (the controller does).
//
// Nothing in it is safe for concurrent use: the goroutine that owns the controller's
// state calls it and receives its callbacks.
package shard
