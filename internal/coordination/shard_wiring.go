package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// memoryShareOfJobs is the fraction of this process's memory limit that unfinished jobs
// may use.
const memoryShareOfJobs = 0.25

// newOwner returns the owner of the shards that this process holds.
func (c *Controller) newOwner() *shard.Owner {
	return shard.NewOwner(shard.Config{
		Member: c.cfg.Member, ProcessNonce: c.identity.Nonce, MemoryLimit: int64(c.cfg.Settings.Limits.MemMB * float64(1<<20) * memoryShareOfJobs),
		MachineLeaseTimeout: c.machineLeaseTimeout(), MachineTTL: tombstoneTTL, MaxMachines: maxMachines,
		Clock: c.env.Clock, Log: c.log, Leader: shardLeaderStream{&c.subscription}, FinalStatuses: c.statuses, Admission: c.admission,
		OpenRecords: func(name string, lease, version uint64, onLost func()) shard.Records {
			return storage.NewShard(c.store, name, c.identity, lease, version, onLost)
		},
	})
}

// shardLeaderStream implements shard.LeaderStream with the controller's subscription.
type shardLeaderStream struct{ subscription *subscription }

// RegisterShards implements shard.LeaderStream.
func (l shardLeaderStream) RegisterShards() { l.subscription.registerShards() }

// RegisterShard implements shard.LeaderStream.
func (l shardLeaderStream) RegisterShard(held *shard.Shard) { l.subscription.registerShard(held) }

// PublishSummaries implements shard.LeaderStream.
func (l shardLeaderStream) PublishSummaries(shard string, jobs []*meshpb.JobSummary) {
	l.subscription.publishSummaries(shard, jobs)
}
