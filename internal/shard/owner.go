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

// Records keeps what has to outlive the process of one held shard; it is a
// storage.Shard. Callbacks come on the owning goroutine, and none after Close.
type Records interface {
	// Recover reads the shard's unfinished jobs, however often that takes.
	Recover(done func([]storage.RecoveredJob))
	RecoveryAttempts() int
	UnreadableKeys() []string
	// Version is the present version of the shard's key, which fences all writes.
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

// LeaderStream takes what an owner has to tell the leader. Without a leader it drops it:
// the next one is told everything as the shards are registered.
type LeaderStream interface {
	// RegisterShards registers the shards that the leader does not count yet.
	RegisterShards()
	// RegisterShard registers a shard, perhaps once more.
	RegisterShard(shard *Shard)
	PublishSummaries(shard string, jobs []*meshpb.JobSummary)
}

// FinalStatuses remembers which jobs have ended and how.
type FinalStatuses interface {
	// Ended tells whether a job is known to have ended.
	Ended(job string) bool
	Remember(job, status string, tasks int)
}

// Config is what an owner needs.
type Config struct {
	Member             string        // the member whose own shard takes new jobs
	ProcessNonce       string        // of this process; nonces of jobs begin with it
	MemoryLimit        int64         // bytes that unfinished jobs may take before new ones are refused
	WorkerLeaseTimeout time.Duration // after a heartbeat's arrival, until its machine's lease has surely ended
	MachineTTL         time.Duration // how long machines are remembered that only earlier leaders told of
	MaxMachines        uint32        // that a leader's indices may go up to

	Clock         storage.Clock
	Log           zerolog.Logger
	Leader        LeaderStream
	FinalStatuses FinalStatuses
	Admission     *admission.Control
	// OpenRecords opens the records of a shard whose key was just written with a version.
	// onLost is called once when it turns out to be another's.
	OpenRecords func(shard string, lease, version uint64, onLost func()) Records
}

// Owner holds the shards of this process.
type Owner struct {
	config               Config
	log                  zerolog.Logger
	admission            *admission.Control
	shards               map[string]*Shard
	jobs                 map[string]*Job
	machines             observedMachines
	tasksByMachine       map[int32][]taskRef // assigned or placed, by machine
	unpublished          []*Job              // since the leader was told last
	lastNonce            uint64
	lossCounter          eventcount.Counter // by lossReason
	orphans              orphans
	estimatedMemoryBytes int64 // what the unfinished jobs take, roughly

	lastRegisteredAtUs int64                    // the latest of the shards' registrations
	commands           []*meshpb.MachineCommand // gathered for the leader
	nextMachineSweepAt time.Duration
}

// NewOwner makes an owner that holds no shard yet.
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
	o.admission.SetShards(o)
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

// CachedImages is what the last leader knew to be cached on a machine.
func (o *Owner) CachedImages(machine string) []*meshpb.CachedImage {
	return o.machines.cachedImages(machine)
}

// MarkChanged has the leader told of a job with the next publish.
func (o *Owner) MarkChanged(job *Job) {
	if !job.unpublished {
		job.unpublished = true
		o.unpublished = append(o.unpublished, job)
	}
}

// HasUnpublished tells whether there is anything to tell the leader.
func (o *Owner) HasUnpublished() bool { return len(o.unpublished) > 0 || len(o.commands) > 0 }

// FlushFinishedTasks has the finished tasks written that have gathered.
func (o *Owner) FlushFinishedTasks() {
	for _, shard := range o.shards {
		shard.records.FlushFinishedTasks()
	}
}

// Tick has new and ended jobs written that have gathered, and ends the pauses of failed
// tasks.
func (o *Owner) Tick(now time.Duration) {
	o.lossCounter.Log(now, &o.log)
	for _, shard := range o.shards {
		shard.records.FlushJobs()
	}
	for _, job := range o.jobs {
		probed := job.breaker.update(job.running, now)
		if ready := job.endBackOffs(now); ready || probed != breakerUnchanged {
			o.MarkChanged(job)
		}
	}
}
