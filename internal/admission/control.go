// Package admission decides whether one more replica of a task may start, as far as its
// team's limit is concerned. It wires the division of teams' limits among the shards
// (package quota) to the shards that this process holds: every replica is admitted here
// first, out of its shard's allocation, and released once it is proven lost.
//
// It owns this process's view of the allocations and what the audit is told of them. It
// promises that a shard's spending never exceeds its allocation while allocations are
// enforced, that nothing is transferred by a holder whose lease may have ended, and that
// records and messages that make no sense change nothing. It does no I/O and has no
// clock of its own, never decides which task starts where, and keeps no jobs: those are
// the owner's (package shard). Without quota.escrow there is no manager and nothing is
// limited.
//
// Nothing in it is safe for concurrent use: the goroutine that owns the controller's
// state calls it and receives its callbacks.
package admission

import (
	"fmt"
	"iter"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const maxTeamsPerTransfer = 8

// Records is where the teams' records are kept. Callbacks come on the owning goroutine.
type RecordStore interface {
	QuotaRecords(done func(items []protocol.KeyValue, err error))
	TransferQuota(transfer *quota.Transfer, done func(storage.TxnResult))
}

// Shards is what admission asks the owner of this process's shards.
type ShardOwner interface {
	// StartableTasks calls visit for each job with tasks that could start now, as far as
	// anything but their team's limit is concerned.
	StartableTasks(visit func(claim *Claim, tasks int))
	// KeyVersions yields the shards with the present versions of their keys.
	KeyVersions() iter.Seq2[string, uint64]
	// AllocationsChanged is called when the answers of Admissible may have changed.
	AllocationsChanged()
}

// Config is what a Control needs.
type Config struct {
	Enabled          bool // quota.escrow
	Shards           []string
	Teams            []settings.Team
	TransferInterval time.Duration
	MaxTxnOps        int // of the state service

	RecordStore      RecordStore
	Codec            *protocol.Codec
	Clock            storage.Clock
	Wall             func() time.Time
	Log              zerolog.Logger
	Audit            func(audit.Record)         // takes records without waiting; nil: none are kept
	BroadcastDemands func(*meshpb.QuotaDemands) // tells all other members what is lacking
}

// Control admits replicas of one process's shards.
type Control struct {
	config     Config
	manager    *quota.Manager // nil without quota.escrow
	guarantees map[string]quota.Amount
	shardOwner ShardOwner
	heldShards map[string]*heldShard

	readingRecords  bool          // the records are being read
	recordsStale    bool          // they have to be read (again) before anything is planned
	nextReadAt      time.Duration // not before
	nextDemandsAt   time.Duration
	demandSequence  uint64
	recordedBlocked map[accountKey]bool // told to the audit

	dropped          uint64 // messages and records that made no sense
	lastDropLoggedAt time.Duration
}

// heldShard is a shard that this process holds.
type heldShard struct {
	fencingToken uint64
	reconciled   bool // all that earlier holders admitted is counted or proven lost
}

// account names a team at a shard.
type accountKey struct{ shard, team string }

// Claim is what each replica of a job's tasks takes of its team's limit.
type Claim struct {
	Shard        string
	FencingToken uint64 // that the shard was acquired with
	Team, Job    string
	Amount       quota.Amount
}

// AmountOf is what one replica of a job's tasks takes.
func AmountOf(job *protocol.Job) quota.Amount { return quota.AmountOf(job.CPUs, job.GPUs) }

// New makes a control that holds no shard yet. It fails if a team's name is too long for
// the key of its record. SetShardOwner has to be called before Tick.
func New(config Config) (*Control, error) {
	c := &Control{config: config}
	if !config.Enabled {
		return c, nil
	}
	c.heldShards = make(map[string]*heldShard)
	c.guarantees = make(map[string]quota.Amount)
	c.recordedBlocked = make(map[accountKey]bool)
	division := quota.Config{Shards: config.Shards, TransferInterval: config.TransferInterval,
		TeamsPerTransfer: min(maxTeamsPerTransfer, config.MaxTxnOps)}
	for _, t := range config.Teams {
		if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
			continue
		}
		if len(storage.QuotaKey(t.Name)) > storage.MaxKeyLength {
			return nil, fmt.Errorf("quota.escrow: the name of team %q is too long", t.Name)
		}
		division.Teams = append(division.Teams, quota.Team{Name: t.Name, Limit: quota.LimitOf(t.CPUsMax, t.GPUsMax)})
		c.guarantees[t.Name] = quota.AmountOf(t.CPUs, t.GPUs)
	}
	c.manager = quota.New(division)
	return c, nil
}

// SetShardOwner names the owner of this process's shards.
func (c *Control) SetShardOwner(shards ShardOwner) { c.shardOwner = shards }

// Enabled tells whether limits are divided at all.
func (c *Control) Enabled() bool { return c.manager != nil }

// Limited tells whether a claim's replicas are counted.
func (c *Control) Limited(claim *Claim) bool {
	return c.manager != nil && c.manager.HasLimit(claim.Team)
}

// Allocation returns what a team may use at a shard, as far as this process knows.
func (c *Control) Allocation(shard, team string) quota.Amount {
	allocation, _, _ := c.manager.Allocation(shard, team)
	return allocation
}

// AddHeldShard notes that this process has acquired a shard with a fencing token.
func (c *Control) AddHeldShard(shard string, fencingToken uint64) {
	if c.manager == nil {
		return
	}
	c.heldShards[shard] = &heldShard{fencingToken: fencingToken}
	c.manager.AddHeldShard(shard, fencingToken)
	c.recordsStale = true
}

// RemoveHeldShard notes that this process holds a shard no more.
func (c *Control) RemoveHeldShard(shard string) {
	if c.manager == nil {
		return
	}
	delete(c.heldShards, shard)
	c.manager.RemoveHeldShard(shard)
	for key := range c.recordedBlocked {
		if key.shard == shard {
			delete(c.recordedBlocked, key)
		}
	}
}

// Complete notes that all that earlier holders of a held shard admitted is counted or
// proven lost.
func (c *Control) MarkReconciled(shard string) {
	held := c.heldShards[shard]
	if held == nil || held.reconciled {
		return
	}
	held.reconciled = true
	c.manager.MarkReconciled(shard)
	for team := range c.guarantees {
		c.appendAuditRecord(audit.Record{Kind: audit.ShardReconciled, Shard: shard, FencingToken: held.fencingToken, Team: team})
	}
}

// IsReconciled tells whether Complete was called for a held shard.
func (c *Control) IsReconciled(shard string) bool {
	held := c.heldShards[shard]
	return held != nil && held.reconciled
}

// Admissible is how many of n tasks the claim's allocation has room for.
func (c *Control) AdmissibleCount(claim *Claim, n int) int {
	if !c.Limited(claim) {
		return n
	}
	return min(n, c.manager.AdmissibleCount(claim.Shard, claim.Team, claim.Amount))
}

// Admit charges the claim for a task's next replica, or tells that there is no room.
func (c *Control) Admit(claim *Claim, task int32, replica uint64) bool {
	if !c.Limited(claim) {
		return true
	}
	kind := audit.AdmittedUnenforced
	if c.manager.Enforced() {
		kind = audit.Admitted
	}
	r := c.newAuditRecord(claim, kind, task, replica)
	if !c.manager.Admit(claim.Shard, claim.Team, claim.Amount) {
		return false
	}
	c.appendAuditRecord(r)
	return true
}

// Release gives back what a replica used that is proven lost or has ended.
func (c *Control) Release(claim *Claim, task int32, replica uint64) {
	if !c.Limited(claim) {
		return
	}
	r := c.newAuditRecord(claim, audit.Released, task, replica)
	c.manager.Release(claim.Shard, claim.Team, claim.Amount)
	c.appendAuditRecord(r)
}

// ChargeInherited charges the claim for tasks of which a replica may run that an earlier
// holder admitted.
func (c *Control) ChargeInherited(claim *Claim, tasks int) {
	if !c.Limited(claim) || tasks == 0 {
		return
	}
	r := c.newAuditRecord(claim, audit.JobRecovered, 0, 0)
	c.manager.Charge(claim.Shard, claim.Team, claim.Amount.Mul(tasks))
	c.appendAuditRecord(r)
}

// RecordReplicaFound notes that the replica of a task charged as inherited is known now.
func (c *Control) RecordReplicaFound(claim *Claim, task int32, replica uint64) {
	if c.Limited(claim) {
		c.appendAuditRecord(c.newAuditRecord(claim, audit.ReplicaFound, task, replica))
	}
}
