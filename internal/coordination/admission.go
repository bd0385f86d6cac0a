package coordination

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	maxTeamsPerTransfer = 8
	demandInterval      = 400 * time.Millisecond // between frames that tell others what is lacking
	quotaReadRetry      = 300 * time.Millisecond
	droppedLogInterval  = 10 * time.Second
)

// admission wires the division of teams' limits (package quota) to this process's
// ledgers: every task that starts is admitted here first, out of its ledger's
// allocation, and released once its copy is proven gone. Without quota.escrow its
// manager is nil, and nothing here does anything.
type admission struct {
	c         *Controller
	manager   *quota.Manager
	guarantee map[string]quota.Amount
	orphans   orphans

	readingRecords bool          // the records are being read
	recordsStale   bool          // they have to be read (again) before anything is planned
	nextReadAt     time.Duration // not before
	nextDemandsAt  time.Duration
	demandSequence uint64
	blocked        map[accountName]bool // told to the audit

	dropped         uint64 // messages and records that made no sense
	droppedLoggedAt time.Duration
}

// accountName names a team at a ledger.
type accountName struct{ shard, team string }

func (a *admission) init(c *Controller) error {
	a.c = c
	a.orphans.init(a.refund)
	if !c.tuning.QuotaEscrow {
		return nil
	}
	c.identity.RecordFormat = storage.QuotaRecordFormat
	a.guarantee = make(map[string]quota.Amount)
	a.blocked = make(map[accountName]bool)
	config := quota.Config{Shards: []string{c.cfg.Member}, TransferInterval: c.tuning.QuotaTransferInterval,
		TeamsPerTransfer: min(maxTeamsPerTransfer, c.cfg.Settings.State.Effective().TxnOps)}
	for _, p := range c.cfg.Peers {
		config.Shards = append(config.Shards, p.Member)
	}
	for _, t := range c.cfg.Settings.Teams {
		if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
			continue
		}
		if len(storage.QuotaKey(t.Name)) > storage.MaxKeyLength {
			return fmt.Errorf("quota.escrow: the name of team %q is too long", t.Name)
		}
		config.Teams = append(config.Teams, quota.Team{Name: t.Name, Limit: quota.LimitOf(t.CPUsMax, t.GPUsMax)})
		a.guarantee[t.Name] = quota.AmountOf(t.CPUs, t.GPUs)
	}
	a.manager = quota.New(config)
	return nil
}

func taskAmount(job *protocol.Job) quota.Amount { return quota.AmountOf(job.CPUs, job.GPUs) }

// limited tells whether a job's tasks are counted at all.
func (a *admission) limited(job *ownedJob) bool {
	return a.manager != nil && a.manager.HasLimit(job.spec.Team)
}

// openShard notes that this process has taken a ledger.
func (a *admission) openShard(shard *ownedShard, version uint64) {
	if a.manager != nil {
		a.manager.AcquireShard(shard.name, version)
		a.recordsStale = true
	}
}

func (a *admission) closeShard(shard string) {
	if a.manager == nil {
		return
	}
	a.manager.ReleaseShard(shard)
	a.orphans.removeShard(shard)
	for key := range a.blocked {
		if key.shard == shard {
			delete(a.blocked, key)
		}
	}
}

// onReconciled notes that all that an earlier holder of a ledger admitted is counted or
// proven gone.
func (a *admission) onReconciled(shard *ownedShard) {
	if a.manager == nil {
		return
	}
	if a.orphans.detachUnreconciled(shard.name) {
		a.c.subscription.registerShard(shard)
		return
	}
	a.orphans.releaseReconciled(shard.name)
	if shard.admissionComplete {
		return
	}
	shard.admissionComplete = true
	a.manager.MarkReconciled(shard.name)
	for team := range a.guarantee {
		a.record(audit.Record{Kind: audit.ShardReconciled, Shard: shard.name, FencingToken: shard.fencingToken, Team: team})
	}
}

// fits is how many more tasks of a job its team's allocation has room for.
func (a *admission) fits(job *ownedJob) int {
	if !a.limited(job) {
		return len(job.tasks)
	}
	return a.manager.AdmissibleCount(job.shard.name, job.spec.Team, taskAmount(job.spec))
}

// admit has room spent for a task's next copy, or tells that there is none.
func (a *admission) admit(job *ownedJob, i int32, attempt uint64) bool {
	if !a.limited(job) {
		return true
	}
	kind := audit.AdmittedUnenforced
	if a.manager.Enforced() {
		kind = audit.Admitted
	}
	ok := false
	a.recordChange(job, audit.Record{Kind: kind, Task: uint32(i), Replica: attempt}, func() bool {
		ok = a.manager.Admit(job.shard.name, job.spec.Team, taskAmount(job.spec))
		return ok
	})
	return ok
}

// release gives back what a task's copy used, which is proven gone.
func (a *admission) release(job *ownedJob, i int32) {
	if a.limited(job) {
		a.recordChange(job, audit.Record{Kind: audit.Released, Task: uint32(i), Replica: job.tasks[i].replica}, func() bool {
			a.manager.Release(job.shard.name, job.spec.Team, taskAmount(job.spec))
			return true
		})
	}
}

// keepOrphans keeps what may be left of a job that is about to be removed.
func (a *admission) keepOrphans(job *ownedJob) {
	if a.limited(job) {
		a.orphans.keep(job, taskAmount(job.spec))
	}
}

// refund gives back what an orphaned replica used that is proven lost.
func (a *admission) refund(orphan *orphanedReplica) {
	shard := orphan.shard
	before := a.manager.Spent(shard.name, orphan.team)
	a.manager.Release(shard.name, orphan.team, orphan.amount)
	a.record(audit.Record{Kind: audit.Released, Shard: shard.name, FencingToken: shard.fencingToken, Team: orphan.team, Job: orphan.job,
		Task: orphan.task, Replica: orphan.replica, Amount: a.manager.LimitedPart(orphan.team, orphan.amount), SpentBefore: before})
}

// countInherited adds tasks of a job of which a copy may run that an earlier holder admitted.
func (a *admission) countInherited(job *ownedJob, n int) {
	if a.limited(job) && n > 0 {
		a.recordChange(job, audit.Record{Kind: audit.JobRecovered}, func() bool {
			a.manager.Charge(job.shard.name, job.spec.Team, taskAmount(job.spec).Mul(n))
			return true
		})
	}
}

// recordFound notes that a counted task's copy is known now.
func (a *admission) recordFound(job *ownedJob, i int32) {
	if a.limited(job) {
		a.recordChange(job, audit.Record{Kind: audit.ReplicaFound, Task: uint32(i), Replica: job.tasks[i].replica}, func() bool { return true })
	}
}

// recordChange makes a change of what a job's team has spent, and records it.
func (a *admission) recordChange(job *ownedJob, r audit.Record, make func() bool) {
	r.Shard, r.FencingToken, r.Team, r.Job = job.shard.name, job.shard.fencingToken, job.spec.Team, job.id
	r.Amount = a.manager.LimitedPart(r.Team, taskAmount(job.spec))
	r.SpentBefore = a.manager.Spent(r.Shard, r.Team)
	if make() {
		a.record(r)
	}
}

// record completes a record and hands it to the audit.
func (a *admission) record(r audit.Record) {
	if a.c.env.Audit == nil {
		return
	}
	r.SpentAfter = a.manager.Spent(r.Shard, r.Team)
	if r.Kind != audit.Admitted && r.Kind != audit.AdmittedUnenforced && r.Kind != audit.Released && r.Kind != audit.JobRecovered {
		r.SpentBefore = r.SpentAfter
	}
	r.TimeMs = a.c.env.Wall().UnixMilli()
	r.Allocation, r.Limit, r.Revision = a.manager.Allocation(r.Shard, r.Team)
	r.Revision = max(r.Revision, r.FencingToken) // what the holder before did was before the ledger was taken
	r.Guarantee = a.guarantee[r.Team]
	a.c.env.Audit(r)
}

// dropMessage counts what made no sense and was dropped, with a line now and then.
func (a *admission) dropMessage(why, from string) {
	a.dropped++
	if now := a.c.now(); a.droppedLoggedAt == 0 || now-a.droppedLoggedAt >= droppedLogInterval {
		a.droppedLoggedAt = now
		a.c.log.Error().Str("why", why).Str("from", from).Uint64("dropped", a.dropped).Msg("quota message dropped")
	}
}

// tick does what time asks for.
func (a *admission) tick(now time.Duration) {
	if a.manager == nil {
		return
	}
	a.setBinding(a.c.election.AllDivideLimits())
	a.readRecords(now)
	a.updateWaiting(now)
	a.manager.Balance(now)
	a.broadcastDemands(now)
	a.transfer(now)
}

// setBinding has admission go by allocations while every member divides limits.
func (a *admission) setBinding(all bool) {
	if all != a.manager.Enforced() {
		a.c.log.Info().Bool("binding", all).Msg("allocations of team limits")
	}
	a.manager.SetEnforced(all)
}

// updateWaiting tells the manager what waits, and the leader what has changed of that.
func (a *admission) updateWaiting(now time.Duration) {
	type waiting struct{ all, least quota.Amount }
	sums := make(map[accountName]*waiting)
	for _, job := range a.c.owner.jobs {
		n := job.startable()
		if n == 0 || !a.limited(job) {
			continue
		}
		key, size := accountName{job.shard.name, job.spec.Team}, a.manager.LimitedPart(job.spec.Team, taskAmount(job.spec))
		if w := sums[key]; w != nil {
			w.all, w.least = w.all.Add(size.Mul(n)), w.least.Min(size)
		} else {
			sums[key] = &waiting{size.Mul(n), size}
		}
	}
	for shard := range a.c.owner.shards {
		for team := range a.guarantee {
			w := sums[accountName{shard, team}]
			if w == nil {
				w = &waiting{}
			}
			a.manager.SetPending(shard, team, w.all, w.least, now)
			a.recordBlocked(shard, team, w.least)
		}
	}
	a.markChangedJobs()
}

// markChangedJobs has the leader told of jobs for which there is more or less room than it
// knows.
func (a *admission) markChangedJobs() {
	for _, job := range a.c.owner.jobs {
		if a.limited(job) && job.publishedPending != a.c.owner.admissible(job) {
			a.c.owner.markChanged(job)
		}
	}
}

// recordBlocked records when a team begins to wait for an allocation, and when that
// is over.
func (a *admission) recordBlocked(shard, team string, least quota.Amount) {
	key := accountName{shard, team}
	blocked := a.manager.Blocked(shard, team)
	if blocked == a.blocked[key] {
		return
	}
	r := audit.Record{Kind: audit.Unblocked, Shard: shard, FencingToken: a.c.owner.shards[shard].fencingToken, Team: team, Amount: least}
	if delete(a.blocked, key); blocked {
		r.Kind, a.blocked[key] = audit.Blocked, true
	}
	a.record(r)
}

// broadcastDemands tells the other members what this one's ledgers lack.
func (a *admission) broadcastDemands(now time.Duration) {
	if now < a.nextDemandsAt || !a.c.election.MayAct(now) {
		return
	}
	a.nextDemandsAt = now + demandInterval
	demands := a.manager.Demands(now)
	if len(demands) == 0 {
		return
	}
	a.demandSequence++
	f := &meshpb.QuotaDemands{Seq: a.demandSequence}
	for _, d := range demands {
		f.Demands = append(f.Demands, &meshpb.QuotaDemand{Shard: d.Shard, Team: d.Team, Target: amountToProto(d.Target),
			SmallestPending: amountToProto(d.SmallestPending), PendingUs: d.Waited.Microseconds()})
	}
	for _, p := range a.c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
	}
}

func amountToProto(a quota.Amount) *meshpb.QuotaAmount {
	return &meshpb.QuotaAmount{Cpus: a.CPUs, Gpus: a.GPUs}
}

func amountFromProto(f *meshpb.QuotaAmount) quota.Amount {
	return quota.Amount{CPUs: f.GetCpus(), GPUs: f.GetGpus()}
}

// onDemands takes what another member lacks. It counts only for ledgers that the
// member holds, as far as this one knows.
func (a *admission) onDemands(p *peer, f *meshpb.QuotaDemands) {
	if a.manager == nil {
		return
	}
	if f.Seq <= p.quotaSequence {
		a.dropMessage("older than one before", p.member)
		return
	}
	p.quotaSequence = f.Seq
	for _, d := range f.Demands {
		if holder, held := a.c.election.ShardHolder(d.Shard); !held || holder != p.member {
			a.dropMessage("not the holder's", p.member)
			continue
		}
		demand := quota.Demand{Shard: d.Shard, Team: d.Team, Target: amountFromProto(d.Target), SmallestPending: amountFromProto(d.SmallestPending),
			Waited: time.Duration(d.PendingUs) * time.Microsecond}
		if err := a.manager.ObserveDemand(demand, a.c.now()); err != nil {
			a.dropMessage("malformed", p.member)
		}
	}
}
