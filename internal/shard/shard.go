package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// replicaBits is how many replica numbers a holder of a shard has, as a power of
// two. Each holder's begin at its fencing token, so they go up from holder to holder.
const replicaBits = 20

// Shard is a shard that this process holds.
type Shard struct {
	name                 string
	records              Records
	recovered            bool         // its unfinished jobs were read
	registration         registration // at the present leader
	jobs                 map[string]*Job
	fencingToken         uint64 // the version that its key was taken with
	lastReplica          uint64 // the highest replica number of the shard
	lastInheritedReplica uint64 // replicas up to this number were started by earlier holders
	reconciled           bool   // no replica of earlier holders is left that is not known of
	unreconciledTasks    int    // recovered tasks that may be anywhere
	pendingCreations     map[string]*pendingCreation
}

// pendingCreation is a new job that is being written.
type pendingCreation struct {
	nonce   string
	waiters []func(storage.CreateResult)
}

// Name returns the shard's name, which is that of a member.
func (shard *Shard) Name() string { return shard.name }

// KeyVersion returns the present version of the shard's key.
func (shard *Shard) KeyVersion() uint64 { return shard.records.Version() }

// Recovered tells whether the shard's unfinished jobs were read.
func (shard *Shard) Recovered() bool { return shard.recovered }

// Registered tells whether the present leader was told of the shard.
func (shard *Shard) Registered() bool { return shard.registration.sent }

// RegistrationConfirmed tells whether the present leader has answered that it counts the
// shard.
func (shard *Shard) RegistrationConfirmed() bool { return shard.registration.confirmed() }

// Reconciled tells whether no replica of earlier holders is left that is not known of.
func (shard *Shard) Reconciled() bool { return shard.reconciled }

// Acquire takes a shard over whose key this process has just written, and reads what is
// unfinished in it.
func (o *Owner) AcquireShard(name string, lease, version uint64) {
	o.RemoveShard(name)
	acquiredAt := o.now()
	shard := &Shard{name: name, jobs: make(map[string]*Job), pendingCreations: make(map[string]*pendingCreation),
		fencingToken: version, lastReplica: version << replicaBits, lastInheritedReplica: version << replicaBits}
	shard.records = o.config.OpenRecords(name, lease, version, func() {
		o.log.Error().Str("shard", name).Uint64("fencing_token", version).Msg("shard lost")
		o.RemoveShard(name)
	})
	o.shards[name] = shard
	o.admission.OpenShard(name, version)
	shard.records.Recover(func(jobs []storage.RecoveredJob) {
		for i := range jobs {
			o.recoverJob(shard, &jobs[i])
		}
		shard.recovered = true
		if keys := shard.records.UnreadableKeys(); len(keys) > 0 {
			o.log.Error().Str("shard", name).Strs("keys", keys).Msg("unreadable records left alone")
		}
		o.log.Info().Str("shard", name).Uint64("fencing_token", version).Int("jobs", len(jobs)).Int("reads", shard.records.RecoveryAttempts()).
			Int64("after_ms", (o.now() - acquiredAt).Milliseconds()).Msg("shard recovered")
		for _, job := range shard.jobs {
			o.endIfFinished(job)
		}
		o.config.Leader.RegisterShards()
	})
}

func (o *Owner) recoverJob(shard *Shard, r *storage.RecoveredJob) {
	job := o.addJob(shard, &r.Job, r.SubmittedAtMs, "")
	job.recoverTasks(r.FinishedTasks)
	o.admission.ChargeInherited(&job.claim, job.active)
}

// Release gives a shard's key up and forgets the shard.
func (o *Owner) ReleaseShard(name string, done func(storage.TxnResult)) {
	o.shards[name].records.Release(done)
	o.RemoveShard(name)
}

// RemoveShard forgets a shard that is held no more.
func (o *Owner) RemoveShard(name string) {
	shard := o.shards[name]
	if shard == nil {
		return
	}
	shard.records.Close()
	delete(o.shards, name)
	o.admission.CloseShard(name)
	o.orphans.removeShard(name)
	for _, job := range shard.jobs {
		job.ended = true
		delete(o.jobs, job.id)
		o.estimatedMemoryBytes -= estimatedJobBytes(job.spec)
		job.notifyEnd("", ErrShardLost)
	}
	for _, pending := range shard.pendingCreations {
		for _, fn := range pending.waiters {
			fn(storage.Unavailable)
		}
	}
	for machine, refs := range o.tasksByMachine {
		kept := refs[:0]
		for _, ref := range refs {
			if ref.job.shard != shard {
				kept = append(kept, ref)
			}
		}
		o.setMachineTasks(machine, kept)
	}
}

// RemoveAllShards forgets all shards.
func (o *Owner) RemoveAllShards() {
	for name := range o.shards {
		o.RemoveShard(name)
	}
}

// Shards yields the shards that this process holds. They may be removed meanwhile.
func (o *Owner) Shards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if !yield(shard) {
				return
			}
		}
	}
}
