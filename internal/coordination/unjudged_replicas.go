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

// reportUnjudged logs a live replica whose job the leader does not know, the first one in each
// unjudgedLogInterval, with a shard whose unfinished jobs the decision waits for.
func (l *leader) reportUnjudged(m *machine, replica *replicaOnMachine, now time.Duration) {
	if !l.unjudgedReplicas.due(now) {
		return
	}
	event := l.env.log.Info().Str("machine", m.name).Str("job", replica.key.job).Uint64("fencing_token", l.fencingToken).
		Int64("term_ms", (now - l.electedAt).Milliseconds())
	if shard := l.shards.firstWithUnknownJobs(); shard != nil {
		event.Str("shard", shard.name).Int("reads", shard.readAttempts)
	}
	event.Msg("replica of an unknown job not judged")
}
