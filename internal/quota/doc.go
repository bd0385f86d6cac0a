// Package quota divides each team's limit among the shards of a deployment, so that all
// controllers together never admit more than the limit allows (escrow). The division is durable:
// the state service has one record per team, which is changed only by transactions that are
// conditional on the record's version and on the version of the key of each shard whose holder
// makes the change. A holder admits tasks only out of the allocation that its shard is
// guaranteed to have by the record.
//
// No order of the calls to a Manager and no outcome of a transaction makes the sum of a team's
// allocations exceed its limit; docs/quota.md gives the argument. A Manager is a deterministic
// state machine: it does no I/O, reads no clock and starts no goroutine. Its caller passes in
// records, outcomes of transactions, other holders' demands and the time, and carries out the
// transactions that the Manager plans.
package quota
