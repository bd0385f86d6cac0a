// Package admission decides whether one more replica of a task may start within its team's
// limit. It connects the division of teams' limits among the shards (package quota) with the
// shards that this process holds: every replica is first admitted here, out of its shard's
// allocation, and released once it is proven lost.
//
// It owns this process's view of the allocations and produces the audit records of them. It
// guarantees that what a shard has spent never exceeds its allocation while allocations are
// enforced, that a holder whose lease may have ended transfers nothing, and that invalid records
// and messages change nothing. It does no I/O and has no clock of its own. It never decides
// which task starts on which machine, and keeps no jobs: those belong to the owner (package
// shard). Without quota.escrow there is no manager and nothing is limited.
//
// Nothing in it is safe for concurrent use: the goroutine that owns the controller's state calls
// it and receives its callbacks.
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

// RecordStore stores the teams' records. It calls back on the owning goroutine.
type RecordStore interface {
	QuotaRecords(done func(items []protocol.KeyValue, err error))
	TransferQuota(transfer *quota.Transfer, done func(storage.TxnResult))
}

// ShardOwner owns the jobs of the shards that this process holds.
type ShardOwner interface {
	// StartableTasks calls visit for each job with tasks that could start now if their team's
	// limit is not considered.
	StartableTasks(visit func(claim *Claim, tasks int))
	// KeyVersions yields the held shards with the present versions of their keys.
	KeyVersions() iter.Seq2[string, uint64]
	// AllocationsChanged is called when the results of AdmissibleCount may have changed.
	AllocationsChanged()
}

// Config has the settings and dependencies of a Control.
type Config struct {
	Enabled          bool // quota.escrow
	Shards           []string
	Teams            []settings.Team
	TransferInterval time.Duration
	MaxTxnOps        int // maximum number of operations in one transaction of the state service

	RecordStore      RecordStore
	Codec            *protocol.Codec
	Clock            storage.Clock
	Wall             func() time.Time // wall clock, for audit records
	Log              zerolog.Logger
	Audit            func(audit.Record)         // receives audit records and must not block; nil: none are kept
	BroadcastDemands func(*meshpb.QuotaDemands) // sends demands to all other members
}

// Control admits replicas of the tasks of one process's shards. Its times are on Config.Clock.
type Control struct {
	config     Config
	manager    *quota.Manager          // nil without quota.escrow
	guarantees map[string]quota.Amount // of the teams with a limit
	shardOwner ShardOwner
	heldShards map[string]*heldShard

	readingRecords  bool          // a read of the records is in progress
	recordsStale    bool          // the records have to be read (again) before anything is planned
	nextReadAt      time.Duration // earliest time of the next read
	nextDemandsAt   time.Duration
	demandSequence  uint64
	recordedBlocked map[accountKey]bool // teams that are blocked according to the audit records

	dropped          uint64 // number of dropped messages and records
	lastDropLoggedAt time.Duration
}

// heldShard is a shard that this process holds.
type heldShard struct {
	fencingToken uint64
	reconciled   bool // everything that earlier holders admitted is counted or proven lost
}

// accountKey identifies a team at a shard.
type accountKey struct{ shard, team string }

// Claim is what each replica of a job's tasks uses of its team's limit, and at which shard.
type Claim struct {
	Shard        string
	FencingToken uint64 // with which the shard was acquired
	Team, Job    string
	Amount       quota.Amount // of one replica
}

// AmountOf returns what one replica of a job's tasks uses.
func AmountOf(job *protocol.Job) quota.Amount { return quota.AmountOf(job.CPUs, job.GPUs) }

// New returns a control that holds no shard yet. It fails if a team's name is too long for the
// key of its record. SetShardOwner must be called before Tick.
func New(config Config) (*Control, error) {
	c := &Control{config: config}
	if !config.Enabled {
		return c, nil
	}
	c.heldShards = make(map[string]*heldShard)
	c.guarantees = make(map[string]quota.Amount)
	c.recordedBlocked = make(map[accountKey]bool)
	quotaConfig := quota.Config{Shards: config.Shards, TransferInterval: config.TransferInterval,
		TeamsPerTransfer: min(maxTeamsPerTransfer, config.MaxTxnOps)}
	for _, t := range config.Teams {
		if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
			continue
		}
		if len(storage.QuotaKey(t.Name)) > storage.MaxKeyLength {
			return nil, fmt.Errorf("quota.escrow: the name of team %q is too long", t.Name)
		}
		quotaConfig.Teams = append(quotaConfig.Teams, quota.Team{Name: t.Name, Limit: quota.LimitOf(t.CPUsMax, t.GPUsMax)})
		c.guarantees[t.Name] = quota.AmountOf(t.CPUs, t.GPUs)
	}
	c.manager = quota.New(quotaConfig)
	return c, nil
}

// SetShardOwner sets the owner of the shards that this process holds.
func (c *Control) SetShardOwner(shards ShardOwner) { c.shardOwner = shards }

// Enabled reports whether limits are divided at all (quota.escrow).
func (c *Control) Enabled() bool { return c.manager != nil }

// Limited reports whether the replicas of a claim count against a limit.
func (c *Control) Limited(claim *Claim) bool {
	return c.manager != nil && c.manager.HasLimit(claim.Team)
}

// Allocation returns what a shard is guaranteed to have of a team's limit, as known to this
// process.
func (c *Control) Allocation(shard, team string) quota.Amount {
	allocation, _, _ := c.manager.Allocation(shard, team)
	return allocation
}

// AddHeldShard records that this process has acquired a shard with a fencing token.
func (c *Control) AddHeldShard(shard string, fencingToken uint64) {
	if c.manager == nil {
		return
	}
	c.heldShards[shard] = &heldShard{fencingToken: fencingToken}
	c.manager.AddHeldShard(shard, fencingToken)
	c.recordsStale = true
}

// RemoveHeldShard records that this process no longer holds a shard.
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

// MarkReconciled records that everything earlier holders of a held shard admitted is counted or
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

// IsReconciled reports whether MarkReconciled was called for a held shard.
func (c *Control) IsReconciled(shard string) bool {
	held := c.heldShards[shard]
	return held != nil && held.reconciled
}

// AdmissibleCount returns how many of count tasks the claim's allocation has room for.
func (c *Control) AdmissibleCount(claim *Claim, count int) int {
	if !c.Limited(claim) {
		return count
	}
	return min(count, c.manager.AdmissibleCount(claim.Shard, claim.Team, claim.Amount))
}

// Admit charges the claim for a task's next replica, or returns false if the allocation has no
// room for it.
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

// Release refunds the claim's amount for a replica that is proven lost or has ended.
func (c *Control) Release(claim *Claim, task int32, replica uint64) {
	if !c.Limited(claim) {
		return
	}
	r := c.newAuditRecord(claim, audit.Released, task, replica)
	c.manager.Release(claim.Shard, claim.Team, claim.Amount)
	c.appendAuditRecord(r)
}

// ChargeInherited charges the claim for tasks that may have a running replica which an earlier
// holder admitted.
func (c *Control) ChargeInherited(claim *Claim, tasks int) {
	if !c.Limited(claim) || tasks == 0 {
		return
	}
	r := c.newAuditRecord(claim, audit.JobRecovered, 0, 0)
	c.manager.Charge(claim.Shard, claim.Team, claim.Amount.Mul(tasks))
	c.appendAuditRecord(r)
}

// RecordReplicaFound appends an audit record when the replica of a task that ChargeInherited has
// charged becomes known.
func (c *Control) RecordReplicaFound(claim *Claim, task int32, replica uint64) {
	if c.Limited(claim) {
		c.appendAuditRecord(c.newAuditRecord(claim, audit.ReplicaFound, task, replica))
	}
}
