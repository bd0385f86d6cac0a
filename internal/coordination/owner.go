package coordination

import (
	"iter"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// ownedShard is a ledger that this process holds.
type ownedShard struct {
	name                 string
	records              *storage.Shard
	recovered            bool         // recovered
	registration         registration // at the present leader
	jobs                 map[string]*ownedJob
	fencingToken         uint64 // the stamp that it was taken with
	lastReplica          uint64 // the highest replica number of the ledger
	lastInheritedReplica uint64 // copies up to this number were given out by earlier holders
	reconciled           bool   // no copy of earlier holders is left that is not known of
	unreconciled         int    // recovered tasks that may be anywhere
	creations            map[string]*pendingCreation
}

type pendingCreation struct {
	nonce   string
	waiters []func(storage.CreateResult)
}

// owner holds what this process owns.
type owner struct {
	c           *Controller
	shards      map[string]*ownedShard
	jobs        map[string]*ownedJob
	machines    observedMachines
	replicas    map[int32][]taskRef
	changed     []*ownedJob
	lastNonce   uint64
	losses      eventcount.Counter // by lossReason
	orphans     orphans
	memoryBytes int64 // what the unfinished jobs take, roughly

	lastRegisteredAtUs int64                    // the latest of the shards' registrations
	commands           []*meshpb.MachineCommand // gathered for the leader
	nextSweepAt        time.Duration
}

// replicaBits is how many replica numbers a holder of a ledger has, as a power of
// two. Each holder's begin at its stamp, so they go up from holder to holder.
const replicaBits = 20

const (
	bytesPerJob  = 4 << 10
	bytesPerTask = 72
)

func estimatedBytes(spec *protocol.Job) int64 { return bytesPerJob + bytesPerTask*int64(spec.Tasks) }

// memoryFull tells whether one more job would take more than a quarter of this
// process's memory; ledgers that are taken over need room too.
func (o *owner) memoryFull(spec *protocol.Job) bool {
	return o.memoryBytes+estimatedBytes(spec) > int64(o.c.cfg.Settings.Limits.MemMB*float64(1<<20)/4)
}

func (o *owner) init(c *Controller) {
	o.c = c
	o.shards = make(map[string]*ownedShard)
	o.jobs = make(map[string]*ownedJob)
	o.replicas = make(map[int32][]taskRef)
	o.losses = newLossCounter()
	o.orphans.init(func(orphan *orphanedReplica) {
		o.c.admission.Release(&orphan.claim, orphan.task, orphan.replica)
	})
}

// acquire takes up a ledger whose key this process has just written, and reads
// what is unfinished in it.
func (o *owner) acquire(name string, lease, version uint64) {
	o.removeShard(name)
	claimed := o.c.now()
	shard := &ownedShard{name: name, jobs: make(map[string]*ownedJob), creations: make(map[string]*pendingCreation)}
	shard.records = storage.NewShard(o.c.store, name, o.c.identity, lease, version, func() {
		o.c.log.Error().Str("ledger", name).Msg("ledger lost")
		o.removeShard(name)
	})
	shard.fencingToken = version
	shard.lastReplica = version << replicaBits
	shard.lastInheritedReplica = shard.lastReplica
	o.shards[name] = shard
	o.c.admission.OpenShard(name, version)
	shard.records.Recover(func(jobs []storage.RecoveredJob) {
		for i := range jobs {
			o.restoreJob(shard, &jobs[i])
		}
		shard.recovered = true
		if unread := shard.records.Unreadable(); len(unread) > 0 {
			o.c.log.Error().Strs("keys", unread).Msg("records of unknown shape are left alone")
		}
		o.c.log.Info().Str("ledger", name).Int("jobs", len(jobs)).Uint64("stamp", version).Int("reads", shard.records.RecoveryReads()).
			Int64("after_ms", (o.c.now() - claimed).Milliseconds()).Msg("ledger taken up")
		for _, job := range shard.jobs {
			o.endIfFinished(job)
		}
		o.c.subscription.registerShards()
	})
}

func (o *owner) restoreJob(shard *ownedShard, r *storage.RecoveredJob) {
	job := o.addJob(shard, &r.Job, r.SubmittedAtMs, "")
	job.restore(r.Done)
	o.c.admission.ChargeInherited(&job.claim, job.active)
}

// addJob adds a job whose tasks all wait.
func (o *owner) addJob(shard *ownedShard, spec *protocol.Job, atMs int64, nonce string) *ownedJob {
	job := newOwnedJob(shard, spec, atMs, nonce)
	shard.jobs[job.id] = job
	o.jobs[job.id] = job
	o.memoryBytes += estimatedBytes(spec)
	o.markChanged(job)
	return job
}

// removeShard forgets a ledger that is held no more.
func (o *owner) removeShard(name string) {
	shard := o.shards[name]
	if shard == nil {
		return
	}
	shard.records.Close()
	delete(o.shards, name)
	o.c.admission.CloseShard(name)
	o.orphans.removeShard(name)
	for _, job := range shard.jobs {
		job.ended = true
		delete(o.jobs, job.id)
		o.memoryBytes -= estimatedBytes(job.spec)
		for _, fn := range job.onEnd {
			fn("")
		}
		job.onEnd = nil
	}
	for _, pending := range shard.creations {
		for _, fn := range pending.waiters {
			fn(storage.Unavailable)
		}
	}
	for machine, refs := range o.replicas {
		kept := refs[:0]
		for _, r := range refs {
			if r.job.shard != shard {
				kept = append(kept, r)
			}
		}
		o.setReplicas(machine, kept)
	}
}

func (o *owner) removeAllShards() {
	for name := range o.shards {
		o.removeShard(name)
	}
}

// createJob writes a new job to this member's own ledger.
func (o *owner) createJob(spec *protocol.Job, atMs int64, until time.Duration, done func(storage.CreateResult)) {
	shard := o.shards[o.c.cfg.Member]
	if shard == nil || !shard.recovered {
		done(storage.Unavailable)
		return
	}
	if o.jobs[spec.ID] != nil {
		// A repeat while the end is being written: in one batch with the end it
		// ended the process.
		done(storage.AlreadyExists)
		return
	}
	if pending := shard.creations[spec.ID]; pending != nil {
		pending.waiters = append(pending.waiters, done)
		return
	}
	o.lastNonce++
	pending := &pendingCreation{nonce: o.c.identity.Nonce + "-" + strconv.FormatUint(o.lastNonce, 36), waiters: []func(storage.CreateResult){done}}
	shard.creations[spec.ID] = pending
	shard.records.CreateJob(spec, atMs, pending.nonce, until, func(result storage.CreateResult) {
		delete(shard.creations, spec.ID)
		if result == storage.Created && shard.jobs[spec.ID] == nil {
			o.addJob(shard, spec, atMs, pending.nonce)
		}
		for _, fn := range pending.waiters {
			fn(result)
		}
	})
}

// cancel ends a job as its user asks; done gets its final status, or none
// if that cannot be said here. The leader stops its tasks from now on: the end
// may be written without this owner learning of it for as long as an outage
// lasts, while others read it and tell the user (ran_cancelled).
func (o *owner) cancel(job *ownedJob, done func(status string)) {
	job.onEnd = append(job.onEnd, done)
	o.endJob(job, protocol.StatusCancelled)
}

func (o *owner) endJob(job *ownedJob, status string) {
	if job.finalStatus != "" {
		return
	}
	job.finalStatus = status
	o.markChanged(job)
	job.shard.records.EndJob(job.spec, job.nonce, status, func() {
		if job.ended {
			return
		}
		job.ended = true
		o.markChanged(job)
		o.removeJob(job)
		o.c.userAPI.rememberFinal(job.id, status, job.spec.Tasks)
		for _, fn := range job.onEnd {
			fn(status)
		}
		job.onEnd = nil
	})
}

// removeJob takes a finished job out of the tables. What is left of it on
// machines is the leader's to clear.
func (o *owner) removeJob(job *ownedJob) {
	if o.c.admission.Limited(&job.claim) {
		o.orphans.keep(job)
	}
	for i := range job.tasks {
		switch job.tasks[i].state {
		case taskUnreconciled:
			job.shard.unreconciled--
		case taskAssigned, taskPlaced:
			o.removeReplica(job, int32(i))
		}
	}
	delete(job.shard.jobs, job.id)
	delete(o.jobs, job.id)
	o.memoryBytes -= estimatedBytes(job.spec)
}

func (o *owner) markChanged(job *ownedJob) {
	if !job.changed {
		job.changed = true
		o.changed = append(o.changed, job)
	}
}

// admissible is how many tasks may be started now, and find room in the allocation of
// their team.
func (o *owner) admissible(job *ownedJob) int {
	return o.c.admission.Admissible(&job.claim, job.startable())
}

// summarize is what the leader has to know of a job whose description it has.
func (o *owner) summarize(job *ownedJob) *meshpb.JobSummary {
	job.publishedPending = o.admissible(job)
	return &meshpb.JobSummary{Job: job.id, Pending: uint32(job.publishedPending), Assigned: uint32(job.active), Ended: job.ended,
		Cancelling: job.finalStatus == protocol.StatusCancelled}
}

// describe is a summary of a job with its description.
func (o *owner) describe(job *ownedJob) *meshpb.JobSummary {
	summary := o.summarize(job)
	s := job.spec
	summary.HasSpec, summary.Team, summary.Priority, summary.Class = true, s.Team, uint32(s.Priority), s.Class
	summary.Cpus, summary.Gpus, summary.MemoryGb = s.CPUs, s.GPUs, s.MemoryGB
	summary.Image, summary.ImageGb, summary.Types, summary.AnyType = s.Image, s.ImageGB, s.Types, s.AnyType
	summary.Zone, summary.SingleZone, summary.SpreadZones, summary.Spot = s.Zone, s.SingleZone, s.SpreadZones, s.Spot
	summary.EstimateS, summary.CheckpointDurationS, summary.CheckpointIntervalS = s.EstimateS, s.CheckpointDurationS, s.CheckpointIntervalS
	summary.SubmittedMs, summary.Tasks, summary.Service = job.submittedMs, uint32(s.Tasks), s.Service
	if s.HasDeadline {
		summary.DeadlineMs = job.submittedMs + int64(s.DeadlineS*1000)
	}
	return summary
}

// publish tells the leader what changed in this batch.
func (o *owner) publish() {
	if len(o.changed) == 0 {
		return
	}
	summaries := make(map[*ownedShard][]*meshpb.JobSummary)
	for _, job := range o.changed {
		job.changed = false
		if o.shards[job.shard.name] != job.shard {
			continue // removed in this batch: the job goes on with the shard's next holder
		}
		if job.shard.registration.sent {
			summaries[job.shard] = append(summaries[job.shard], o.changeOf(job))
		}
	}
	o.changed = o.changed[:0]
	for shard, jobs := range summaries {
		o.c.subscription.publishSummaries(shard.name, jobs)
	}
}

// changeOf is what the leader is told of a job that has changed.
func (o *owner) changeOf(job *ownedJob) *meshpb.JobSummary {
	if !job.specUnsent {
		return o.summarize(job)
	}
	job.specUnsent = false
	return o.describe(job)
}

func (o *owner) flushRecords() {
	for _, shard := range o.shards {
		shard.records.FlushFinishedTasks()
	}
}

// tick writes what has gathered, and ends the pauses of failed tasks.
func (o *owner) tick(now time.Duration) {
	o.losses.Log(now, &o.c.log)
	for _, shard := range o.shards {
		shard.records.FlushJobs()
	}
	for _, job := range o.jobs {
		probed := job.breaker.probe(job.running, now)
		if ready := job.endBackOffs(now); ready || probed != breakerUnchanged {
			o.markChanged(job)
		}
	}
}

// StartableTasks implements admission.Shards.
func (o *owner) StartableTasks(visit func(claim *admission.Claim, tasks int)) {
	for _, job := range o.jobs {
		if n := job.startable(); n > 0 {
			visit(&job.claim, n)
		}
	}
}

// KeyVersions implements admission.Shards.
func (o *owner) KeyVersions() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		for name, shard := range o.shards {
			if !yield(name, shard.records.Version()) {
				return
			}
		}
	}
}

// AllocationsChanged implements admission.Shards: the leader is told of jobs of which more
// or fewer tasks may start than it knows.
func (o *owner) AllocationsChanged() {
	for _, job := range o.jobs {
		if o.c.admission.Limited(&job.claim) && job.publishedPending != o.admissible(job) {
			o.markChanged(job)
		}
	}
}
