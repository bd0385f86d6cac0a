package shard

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// replicaBits is the number of low bits of a replica number in which a holder of a shard
// counts its replicas. The numbers of each holder begin at its fencing token, shifted left
// by replicaBits, so they increase from holder to holder.
const replicaBits = 20

// Shard is a shard that this process holds.
type Shard struct {
	name                 string
	records              Records
	recovered            bool         // its unfinished jobs were read
	registration         registration // with the current leader
	jobs                 map[string]*Job
	fencingToken         uint64                      // version of its key at the acquisition
	lastReplica          uint64                      // highest replica number of the shard
	lastInheritedReplica uint64                      // replicas up to this number were started by earlier holders
	reconciled           bool                        // no unknown replica of earlier holders is left
	unreconciledTasks    int                         // recovered tasks whose replicas may be on any machine
	pendingCreations     map[string]*pendingCreation // by job
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

// Recovered reports whether the shard's unfinished jobs were read.
func (shard *Shard) Recovered() bool { return shard.recovered }

// Registered reports whether the shard's registration was sent to the current leader.
func (shard *Shard) Registered() bool { return shard.registration.sent }

// RegistrationConfirmed reports whether the current leader has confirmed the registration
// of the shard.
func (shard *Shard) RegistrationConfirmed() bool { return shard.registration.confirmed() }

// Reconciled reports whether no unknown replica of earlier holders is left.
func (shard *Shard) Reconciled() bool { return shard.reconciled }

// AcquireShard adds a shard whose key this process has just written, at version and
// attached to the lease, and reads its unfinished jobs.
func (o *Owner) AcquireShard(name string, leaseID, version uint64) {
	o.RemoveShard(name)
	acquiredAt := o.now()
	shard := &Shard{name: name, jobs: make(map[string]*Job), pendingCreations: make(map[string]*pendingCreation),
		fencingToken: version, lastReplica: version << replicaBits, lastInheritedReplica: version << replicaBits}
	shard.records = o.config.OpenRecords(name, leaseID, version, func() {
		o.log.Error().Str("shard", name).Uint64("fencing_token", version).Msg("shard lost")
		o.RemoveShard(name)
	})
	o.shards[name] = shard
	o.admission.AddHeldShard(name, version)
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

func (o *Owner) recoverJob(shard *Shard, recovered *storage.RecoveredJob) {
	job := o.addJob(shard, &recovered.Job, recovered.SubmittedAtMs, "")
	job.recoverTasks(recovered.FinishedTasks)
	o.admission.ChargeInherited(&job.claim, job.active)
}

// ReleaseShard deletes the key of a shard and removes the shard.
func (o *Owner) ReleaseShard(name string, done func(storage.TxnResult)) {
	o.shards[name].records.Release(done)
	o.RemoveShard(name)
}

// RemoveShard removes a shard that is no longer held.
func (o *Owner) RemoveShard(name string) {
	shard := o.shards[name]
	if shard == nil {
		return
	}
	shard.records.Close()
	delete(o.shards, name)
	o.admission.RemoveHeldShard(name)
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

// RemoveAllShards removes all shards.
func (o *Owner) RemoveAllShards() {
	for name := range o.shards {
		o.RemoveShard(name)
	}
}

// Shards yields the shards that this process holds. They may be removed during the
// iteration.
func (o *Owner) Shards() iter.Seq[*Shard] {
	return func(yield func(*Shard) bool) {
		for _, shard := range o.shards {
			if !yield(shard) {
				return
			}
		}
	}
}
