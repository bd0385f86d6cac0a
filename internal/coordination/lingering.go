package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// lingering holds the copies that may be left of jobs that are over: they count for
// their teams until their machines have proved them gone, by the same proofs as the
// copies of jobs that go on.
type lingering struct {
	a      *admission
	copies map[int32][]*lingeringCopy // by machine; nobody: it is not known which
}

// lingeringCopy is a copy of a task whose job is over.
type lingeringCopy struct {
	ledger       *ownedLedger
	team, job    string
	task         uint32
	attempt      uint64
	session, seq uint64
	inTransit    bool // its start has not been acknowledged by a report
	attached     bool // the present leader has known the job while it went on, and tells of its copies
	amount       quota.Amount
}

func (g *lingering) init(a *admission) {
	g.a = a
	g.copies = make(map[int32][]*lingeringCopy)
}

// jobEnded keeps what may be left of a job that is about to be forgotten.
func (a *admission) jobEnded(j *ownedJob) {
	if !a.limited(j) {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		m := t.machine
		switch t.place {
		case unplaced:
			m = nobody
		case inTransit, onMachine:
		default:
			continue
		}
		a.lingering.copies[m] = append(a.lingering.copies[m], &lingeringCopy{ledger: j.ledger, team: j.spec.Team, job: j.id, task: uint32(i),
			attempt: t.attempt, session: t.session, seq: t.seq, inTransit: t.place == inTransit, attached: j.ledger.joined && !j.fresh,
			amount: sizeOf(j.spec)})
	}
}

// release gives back what the copies used for which gone holds.
func (g *lingering) release(m int32, gone func(k *lingeringCopy) bool) {
	list := g.copies[m]
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, k := range list {
		if !gone(k) {
			kept = append(kept, k)
			continue
		}
		before := g.a.manager.Spent(k.ledger.name, k.team)
		g.a.manager.Release(k.ledger.name, k.team, k.amount)
		g.a.record(audit.Record{Kind: audit.Released, Shard: k.ledger.name, FencingToken: k.ledger.token, Team: k.team, Job: k.job, Task: k.task,
			Replica: k.attempt, Amount: g.a.manager.LimitedPart(k.team, k.amount), SpentBefore: before})
	}
	clear(list[len(kept):])
	if g.copies[m] = kept; len(kept) == 0 {
		delete(g.copies, m)
	}
}

// on tells whether a machine may hold any.
func (g *lingering) on(m int32) bool { return len(g.copies[m]) > 0 }

// detach notes that the stream from the leader has ended. The next leader may not
// know the jobs, and so not tell of their copies: it says when none is left.
func (g *lingering) detach() {
	for _, list := range g.copies {
		for _, k := range list {
			k.attached = false
		}
	}
}

// searched detaches the copies of a ledger of which it is not known where they are
// although the leader has known their jobs, and tells whether there are any. Their
// jobs were over while the ledger was being settled: only after joining once more
// does the leader's word cover them.
func (g *lingering) searched(ledger string) bool {
	any := false
	for _, k := range g.copies[nobody] {
		if k.ledger.name == ledger && k.attached {
			k.attached, any = false, true
		}
	}
	return any
}

// proven releases what was left of jobs that were over when the ledger joined the
// present leader, which says that no machine holds any of it.
func (g *lingering) proven(ledger string) {
	for m := range g.copies {
		g.release(m, func(k *lingeringCopy) bool { return !k.attached && k.ledger.name == ledger })
	}
}

// reported judges by a machine's report what is left on it, see owner.reported.
func (g *lingering) reported(m int32, r *meshpb.MachineStatus) {
	if !g.on(m) {
		return
	}
	live := make(map[taskKey]bool, len(r.Tasks))
	for _, s := range r.Tasks {
		if protocol.TaskState(s.State) != protocol.TaskExited {
			live[taskKey{s.Job, s.Task, s.Replica}] = true
		}
	}
	g.release(m, func(k *lingeringCopy) bool {
		switch {
		case r.Epoch > k.session:
			return true
		case !r.Current || !k.attached || r.Epoch < k.session:
			return false
		case live[taskKey{k.job, k.task, k.attempt}]:
			k.inTransit = false
			return false
		}
		proof := g.a.c.subscription.absence(m, r, k.ledger)
		if k.inTransit {
			return proof != absenceProvesNothing && r.Seq > k.seq
		}
		return proof == absenceProvesEnd
	})
}

// machineGone releases what was on a machine that has ended for good.
func (g *lingering) machineGone(m int32) { g.release(m, func(*lingeringCopy) bool { return true }) }

// leasesOver releases what was on machines whose leases are surely over, by the
// leader's clock, see subscription.onHeartbeat.
func (g *lingering) leasesOver(clockUs, spanUs int64) {
	s := &g.a.c.subscription
	for m := range g.copies {
		if m == nobody {
			continue
		}
		last := s.machine(m).at
		g.release(m, func(k *lingeringCopy) bool {
			start := s.start[k.ledger.name]
			return start > 0 && clockUs-max(last, start) > spanUs
		})
	}
}

// unplaced releases a copy whose start was never sent.
func (g *lingering) unplaced(p *meshpb.Binding) {
	for m := range g.copies {
		g.release(m, func(k *lingeringCopy) bool {
			return k.inTransit && k.job == p.Job && k.task == p.Task && k.attempt == p.Replica
		})
	}
}

// drop forgets what is left of a ledger that is held no more.
func (g *lingering) drop(ledger string) {
	for m, list := range g.copies {
		kept := list[:0]
		for _, k := range list {
			if k.ledger.name != ledger {
				kept = append(kept, k)
			}
		}
		clear(list[len(kept):])
		if g.copies[m] = kept; len(kept) == 0 {
			delete(g.copies, m)
		}
	}
}
