package coordination

import "time"

// unjudgedLogInterval is the minimum time between two log lines of unjudgedReplicaLog.
const unjudgedLogInterval = 5 * time.Second

// unjudgedReplicaLog limits the rate of the log lines about replicas that the leader can't judge.
type unjudgedReplicaLog struct {
	nextAt time.Duration // of the next line, on this process's monotonic clock
}

// due reports whether a line may be written now, and starts the next interval if so.
func (u *unjudgedReplicaLog) due(now time.Duration) bool {
	if now < u.nextAt {
		return false
	}
	u.nextAt = now + unjudgedLogInterval
	return true
}

// reportUnjudged counts a live replica that a machine is left to run although the leader does
// not know its job, and logs the first one in each unjudgedLogInterval with the shard that the
// decision waits for.
func (l *leader) reportUnjudged(m *machine, replica *replicaOnMachine, now time.Duration) {
	l.countResponse(replicaUnjudged)
	if !l.unjudgedReplicas.due(now) {
		return
	}
	event := l.env.log.Info().Str("machine", m.name).Str("job", replica.key.job).Uint64("fencing_token", l.fencingToken).
		Bool("jobs_known", l.shards.allJobsKnown())
	if shard := l.shards.longestUnowned(); shard != nil {
		event.Str("shard", shard.name).Int64("unowned_ms", (now - shard.unownedSince).Milliseconds())
	}
	event.Msg("replica of an unknown job left running")
}
