package shard

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/eventcount"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Records stores what has to outlive the process for one held shard; storage.Shard
// implements it. Callbacks are called on the owning goroutine, and none after Close.
type Records interface {
	// Recover reads the shard's unfinished jobs, and retries until that succeeds.
	Recover(done func([]storage.RecoveredJob))
	// RecoveryAttempts returns how many times Recover has requested the records, including
	// failed attempts.
	RecoveryAttempts() int
	// UnreadableKeys returns the keys of the records that Recover could not read.
	UnreadableKeys() []string
	// Version returns the present version of the shard's key, which fences all writes.
	Version() uint64
	CreateJob(job *protocol.Job, submittedAtMs int64, nonce string, deadline time.Duration, done func(storage.CreateResult))
	EndJob(job *protocol.Job, nonce, status string, done func())
	FinishTask(job *protocol.Job, task int, done func())
	FlushJobs()
	FlushFinishedTasks()
	// Release closes the records and deletes the shard's key.
	Release(done func(storage.TxnResult))
	Close()
}

// LeaderStream sends an owner's messages to the leader. Without a leader it drops them: the
// next leader receives the whole state when the shards are registered.
type LeaderStream interface {
	// RegisterShards sends the current leader the registrations that were not sent to it yet.
	RegisterShards()
	// RegisterShard registers a shard, possibly once more.
	RegisterShard(shard *Shard)
	PublishSummaries(shard string, jobs []*meshpb.JobSummary)
}

// FinalStatuses records which jobs have ended, and with which status.
type FinalStatuses interface {
	// Ended reports whether a job is known to have ended.
	Ended(job string) bool
	AddFinal(job, status string, tasks int)
}

// Config has the settings and dependencies of an Owner.
type Config struct {
	Member              string        // the member of this process; its own shard takes new jobs
	ProcessNonce        string        // of this process; prefix of the nonces of its jobs
	MemoryLimit         int64         // bytes that unfinished jobs may use before new ones are rejected
	MachineLeaseTimeout time.Duration // from a heartbeat's arrival until its machine's lease is guaranteed to have ended
	MachineTTL          time.Duration // how long machines are kept that only earlier leaders reported
	MaxMachines         uint32        // upper bound of a leader's machine indices, exclusive

	Clock         storage.Clock
	Log           zerolog.Logger
	Leader        LeaderStream
	FinalStatuses FinalStatuses
	Admission     *admission.Control
	// OpenRecords opens the records of a shard whose key this process has just written, at
	// version and attached to the lease. onLost is called once when the key turns out to
	// belong to another process.
	OpenRecords func(shard string, leaseID, version uint64, onLost func()) Records
}

// Owner owns the shards that this process holds, and their jobs.
type Owner struct {
	config               Config
	log                  zerolog.Logger
	admission            *admission.Control
	shards               map[string]*Shard
	jobs                 map[string]*Job
	machines             observedMachines
	tasksByMachine       map[int32][]taskRef // assigned or placed tasks, by machine
	unpublished          []*Job              // changed since their summaries were last sent to the leader
	lastNonce            uint64
	lossCounter          eventcount.Counter // by lossReason
	orphans              orphans
	estimatedMemoryBytes int64 // of the unfinished jobs

	lastRegisteredAtUs int64                    // the latest registration of a shard, on the leader's clock
	commands           []*meshpb.MachineCommand // queued for the leader
	nextMachineSweepAt time.Duration
}

// NewOwner returns an owner that holds no shard yet.
func NewOwner(config Config) *Owner {
	o := &Owner{
		config:         config,
		log:            config.Log,
		admission:      config.Admission,
		shards:         make(map[string]*Shard),
		jobs:           make(map[string]*Job),
		tasksByMachine: make(map[int32][]taskRef),
		lossCounter:    newLossCounter(),
	}
	o.machines.maxMachines = config.MaxMachines
	o.orphans.init(func(orphan *orphanedReplica) {
		o.admission.Release(&orphan.claim, orphan.task, orphan.replica)
	})
	o.admission.SetShardOwner(o)
	return o
}

func (o *Owner) now() time.Duration { return o.config.Clock.Now() }

// Job returns an unfinished job of a shard that this process holds, or nil.
func (o *Owner) Job(id string) *Job { return o.jobs[id] }

// Shard returns a shard that this process holds, or nil.
func (o *Owner) Shard(name string) *Shard { return o.shards[name] }

// OwnShard returns the shard that has this member's name if this process holds it and has
// recovered it, and nil otherwise.
func (o *Owner) OwnShard() *Shard {
	if shard := o.shards[o.config.Member]; shard != nil && shard.recovered {
		return shard
	}
	return nil
}

// CachedImages returns the images cached on a machine, as a leader last reported them.
func (o *Owner) CachedImages(machine string) []*meshpb.CachedImage {
	return o.machines.cachedImages(machine)
}

// MarkChanged marks a job whose summary the next PublishChangedJobs sends to the leader.
func (o *Owner) MarkChanged(job *Job) {
	if !job.unpublished {
		job.unpublished = true
		o.unpublished = append(o.unpublished, job)
	}
}

// HasUnpublished reports whether there are changed jobs or commands for the leader.
func (o *Owner) HasUnpublished() bool { return len(o.unpublished) > 0 || len(o.commands) > 0 }

// FlushFinishedTasks writes the queued finished tasks.
func (o *Owner) FlushFinishedTasks() {
	for _, shard := range o.shards {
		shard.records.FlushFinishedTasks()
	}
}

// Tick writes the queued creations and ends of jobs, and ends the back-offs of failed tasks
// and the pauses of circuit breakers that are over.
func (o *Owner) Tick(now time.Duration) {
	o.lossCounter.Log(now, &o.log)
	for _, shard := range o.shards {
		shard.records.FlushJobs()
	}
	for _, job := range o.jobs {
		change := job.breaker.update(job.running, now)
		if ready := job.endBackOffs(now); ready || change != breakerUnchanged {
			o.MarkChanged(job)
		}
	}
}
