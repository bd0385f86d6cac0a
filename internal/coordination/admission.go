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
	dropLogInterval     = 10 * time.Second
)

// admission wires the division of teams' limits (package quota) to this process's
// ledgers: every task that starts is admitted here first, out of its ledger's
// allocation, and released once its copy is proven gone. Without quota.escrow its
// manager is nil, and nothing here does anything.
type admission struct {
	c         *Core
	manager   *quota.Manager
	guarantee map[string]quota.Amount
	lingering lingering

	reading   bool          // the records are being read
	unread    bool          // they have to be read (again) before anything is planned
	readAt    time.Duration // not before
	demandAt  time.Duration
	demandSeq uint64
	blocked   map[accountName]bool // told to the audit

	dropped uint64 // messages and records that made no sense
	dropLog time.Duration
}

// accountName names a team at a ledger.
type accountName struct{ ledger, team string }

func (a *admission) init(c *Core) error {
	a.c = c
	a.lingering.init(a)
	if !c.tune.QuotaEscrow {
		return nil
	}
	c.me.RecordFormat = storage.QuotaRecordFormat
	a.guarantee = make(map[string]quota.Amount)
	a.blocked = make(map[accountName]bool)
	config := quota.Config{Shards: []string{c.cfg.Member}, TransferInterval: c.tune.QuotaTransferInterval,
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

func sizeOf(j *protocol.Job) quota.Amount { return quota.AmountOf(j.CPUs, j.GPUs) }

// limited tells whether a job's tasks are counted at all.
func (a *admission) limited(j *ownedJob) bool {
	return a.manager != nil && a.manager.HasLimit(j.spec.Team)
}

// open notes that this process has taken a ledger.
func (a *admission) open(l *ownedLedger, stamp uint64) {
	if a.manager != nil {
		a.manager.AcquireShard(l.name, stamp)
		a.unread = true
	}
}

func (a *admission) close(ledger string) {
	if a.manager == nil {
		return
	}
	a.manager.ReleaseShard(ledger)
	a.lingering.drop(ledger)
	for key := range a.blocked {
		if key.ledger == ledger {
			delete(a.blocked, key)
		}
	}
}

// complete notes that all that an earlier holder of a ledger admitted is counted or
// proven gone.
func (a *admission) complete(l *ownedLedger) {
	if a.manager == nil {
		return
	}
	if a.lingering.searched(l.name) {
		a.c.subscription.joinLedger(l)
		return
	}
	a.lingering.proven(l.name)
	if l.complete {
		return
	}
	l.complete = true
	a.manager.MarkReconciled(l.name)
	for team := range a.guarantee {
		a.record(audit.Record{Kind: audit.ShardReconciled, Shard: l.name, FencingToken: l.token, Team: team})
	}
}

// fits is how many more tasks of a job its team's allocation has room for.
func (a *admission) fits(j *ownedJob) int {
	if !a.limited(j) {
		return len(j.tasks)
	}
	return a.manager.AdmissibleCount(j.ledger.name, j.spec.Team, sizeOf(j.spec))
}

// admit has room spent for a task's next copy, or tells that there is none.
func (a *admission) admit(j *ownedJob, i int32, attempt uint64) bool {
	if !a.limited(j) {
		return true
	}
	kind := audit.AdmittedUnenforced
	if a.manager.Enforced() {
		kind = audit.Admitted
	}
	ok := false
	a.change(j, audit.Record{Kind: kind, Task: uint32(i), Replica: attempt}, func() bool {
		ok = a.manager.Admit(j.ledger.name, j.spec.Team, sizeOf(j.spec))
		return ok
	})
	return ok
}

// release gives back what a task's copy used, which is proven gone.
func (a *admission) release(j *ownedJob, i int32) {
	if a.limited(j) {
		a.change(j, audit.Record{Kind: audit.Released, Task: uint32(i), Replica: j.tasks[i].attempt}, func() bool {
			a.manager.Release(j.ledger.name, j.spec.Team, sizeOf(j.spec))
			return true
		})
	}
}

// count adds tasks of a job of which a copy may run that an earlier holder admitted.
func (a *admission) count(j *ownedJob, n int) {
	if a.limited(j) && n > 0 {
		a.change(j, audit.Record{Kind: audit.JobRecovered}, func() bool {
			a.manager.Charge(j.ledger.name, j.spec.Team, sizeOf(j.spec).Mul(n))
			return true
		})
	}
}

// found notes that a counted task's copy is known now.
func (a *admission) found(j *ownedJob, i int32) {
	if a.limited(j) {
		a.change(j, audit.Record{Kind: audit.ReplicaFound, Task: uint32(i), Replica: j.tasks[i].attempt}, func() bool { return true })
	}
}

// change makes a change of what a job's team has spent, and records it.
func (a *admission) change(j *ownedJob, r audit.Record, make func() bool) {
	r.Shard, r.FencingToken, r.Team, r.Job = j.ledger.name, j.ledger.token, j.spec.Team, j.id
	r.Amount = a.manager.LimitedPart(r.Team, sizeOf(j.spec))
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

// drop counts what made no sense and was dropped, with a line now and then.
func (a *admission) drop(why, from string) {
	a.dropped++
	if now := a.c.now(); a.dropLog == 0 || now-a.dropLog >= dropLogInterval {
		a.dropLog = now
		a.c.log.Error().Str("why", why).Str("from", from).Uint64("dropped", a.dropped).Msg("quota message dropped")
	}
}

// tick does what time asks for.
func (a *admission) tick(now time.Duration) {
	if a.manager == nil {
		return
	}
	a.rely(a.c.session.versions.divideLimits())
	a.read(now)
	a.want(now)
	a.manager.Balance(now)
	a.tellDemands(now)
	a.transfer(now)
}

// rely has admission go by allocations while every member divides limits.
func (a *admission) rely(all bool) {
	if all != a.manager.Enforced() {
		a.c.log.Info().Bool("binding", all).Msg("allocations of team limits")
	}
	a.manager.SetEnforced(all)
}

// want tells the manager what waits, and the leader what has changed of that.
func (a *admission) want(now time.Duration) {
	type waiting struct{ all, least quota.Amount }
	sums := make(map[accountName]*waiting)
	for _, j := range a.c.owner.jobs {
		n := j.startable()
		if n == 0 || !a.limited(j) {
			continue
		}
		key, size := accountName{j.ledger.name, j.spec.Team}, a.manager.LimitedPart(j.spec.Team, sizeOf(j.spec))
		if w := sums[key]; w != nil {
			w.all, w.least = w.all.Add(size.Mul(n)), w.least.Min(size)
		} else {
			sums[key] = &waiting{size.Mul(n), size}
		}
	}
	for ledger := range a.c.owner.ledgers {
		for team := range a.guarantee {
			w := sums[accountName{ledger, team}]
			if w == nil {
				w = &waiting{}
			}
			a.manager.SetPending(ledger, team, w.all, w.least, now)
			a.tellBlocked(ledger, team, w.least)
		}
	}
	a.refresh()
}

// refresh has the leader told of jobs for which there is more or less room than it
// knows.
func (a *admission) refresh() {
	for _, j := range a.c.owner.jobs {
		if a.limited(j) && j.told != a.c.owner.admissible(j) {
			a.c.owner.touch(j)
		}
	}
}

// tellBlocked records when a team begins to wait for an allocation, and when that
// is over.
func (a *admission) tellBlocked(ledger, team string, least quota.Amount) {
	key := accountName{ledger, team}
	blocked := a.manager.Blocked(ledger, team)
	if blocked == a.blocked[key] {
		return
	}
	r := audit.Record{Kind: audit.Unblocked, Shard: ledger, FencingToken: a.c.owner.ledgers[ledger].token, Team: team, Amount: least}
	if delete(a.blocked, key); blocked {
		r.Kind, a.blocked[key] = audit.Blocked, true
	}
	a.record(r)
}

// tellDemands tells the other members what this one's ledgers lack.
func (a *admission) tellDemands(now time.Duration) {
	if now < a.demandAt || !a.c.session.mayAct(now) {
		return
	}
	a.demandAt = now + demandInterval
	demands := a.manager.Demands(now)
	if len(demands) == 0 {
		return
	}
	a.demandSeq++
	f := &meshpb.QuotaDemands{Seq: a.demandSeq}
	for _, d := range demands {
		f.Demands = append(f.Demands, &meshpb.QuotaDemand{Shard: d.Shard, Team: d.Team, Target: amountFrame(d.Target),
			SmallestPending: amountFrame(d.SmallestPending), PendingUs: d.Waited.Microseconds()})
	}
	for _, p := range a.c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
	}
}

func amountFrame(a quota.Amount) *meshpb.QuotaAmount {
	return &meshpb.QuotaAmount{Cpus: a.CPUs, Gpus: a.GPUs}
}

func amountOf(f *meshpb.QuotaAmount) quota.Amount {
	return quota.Amount{CPUs: f.GetCpus(), GPUs: f.GetGpus()}
}

// onDemands takes what another member lacks. It counts only for ledgers that the
// member holds, as far as this one knows.
func (a *admission) onDemands(p *peer, f *meshpb.QuotaDemands) {
	if a.manager == nil {
		return
	}
	if f.Seq <= p.quotaSeq {
		a.drop("older than one before", p.member)
		return
	}
	p.quotaSeq = f.Seq
	for _, d := range f.Demands {
		k := a.c.session.ledgers[d.Shard]
		if k == nil || !k.present || k.holder.Member != p.member {
			a.drop("not the holder's", p.member)
			continue
		}
		demand := quota.Demand{Shard: d.Shard, Team: d.Team, Target: amountOf(d.Target), SmallestPending: amountOf(d.SmallestPending),
			Waited: time.Duration(d.PendingUs) * time.Microsecond}
		if !a.manager.ObserveDemand(demand, a.c.now()) {
			a.drop("malformed", p.member)
		}
	}
}
