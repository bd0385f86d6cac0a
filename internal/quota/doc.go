// Package quota owns the division of each team's limit among the shards of a deployment,
// so that all controllers together never admit more than it allows (escrow). The division
// is durable: one record a team in the state service, changed only by transactions that
// are conditional on the record's version and on the version of the changing holder's
// shard key. A holder admits tasks out of the allocation that the record certainly gives
// its shard, and out of nothing else.
//
// It promises that no order of the calls to a Manager, and no outcome of a transaction,
// makes the allocations of a team exceed its limit; docs/quota.md argues why. It is a
// deterministic state machine: it never does I/O, reads no clock and starts no goroutine.
// Its caller feeds it with records, outcomes of transactions, other holders' demands and
// the time, and carries out the transactions that it plans.
package quota
