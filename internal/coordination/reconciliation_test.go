package coordination

import (
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const testLeaseTimeout = time.Minute

func newTestReconciler(machines *machineTable) *reconciler {
	return &reconciler{leases: machineLeases{electedAt: 100 * time.Second, timeout: testLeaseTimeout}, machines: machines, quotaEscrow: true}
}

func TestMachineProofs(t *testing.T) {
	shard, other := &shardState{registeredAt: 110 * time.Second}, &shardState{}
	start := func(of *shardState) []replicaOnMachine {
		return []replicaOnMachine{{job: &trackedJob{shard: of}}}
	}
	const now = 120 * time.Second
	for _, c := range []struct {
		name     string
		machine  machine
		progress recoveryProgress
		want     machineProof
	}{
		{"terminated", machine{terminated: true, recordedByEarlierLeader: true}, recoveryProgress{}, provenTerminated},
		{"heartbeat since the registration", machine{lastHeartbeat: 111 * time.Second, lastCurrentHeartbeat: 111 * time.Second, sentStarts: start(shard)}, recoveryProgress{}, provenByHeartbeat},
		{"status published at the registration", machine{lastHeartbeat: 109 * time.Second, lastCurrentHeartbeat: 109 * time.Second}, recoveryProgress{}, provenByPublishedStatus},
		{"unacknowledged start of the shard", machine{lastHeartbeat: 109 * time.Second, lastCurrentHeartbeat: 109 * time.Second, sentStarts: start(shard)}, recoveryProgress{}, notProven},
		{"unacknowledged start of another shard", machine{lastHeartbeat: 109 * time.Second, lastCurrentHeartbeat: 109 * time.Second, sentStarts: start(other)}, recoveryProgress{}, provenByPublishedStatus},
		{"heartbeat without the fencing token", machine{lastHeartbeat: 111 * time.Second, recordedByEarlierLeader: true}, recoveryProgress{machinesKnown: true}, notProven},
		{"first recorded by this leader", machine{lastHeartbeat: 111 * time.Second}, recoveryProgress{machinesKnown: true}, provenEmpty},
		{"perhaps recorded by an earlier leader", machine{lastHeartbeat: 111 * time.Second}, recoveryProgress{}, notProven},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestReconciler(&machineTable{})
			requireEqual(t, "proof", r.proofFor(&c.machine, shard, c.progress, now), c.want)
			if !c.machine.terminated {
				late := max(c.machine.lastHeartbeat, shard.registeredAt) + testLeaseTimeout
				requireEqual(t, "proof after its lease", r.proofFor(&c.machine, shard, c.progress, late+1), provenLeaseExpired)
			}
		})
	}
}

func TestEachReconciliationIsDecidedOnce(t *testing.T) {
	var machines machineTable
	machines.init()
	shards := newShardRegistry()
	shard := shards.add("a")
	r := newTestReconciler(&machines)
	m := machines.add("vm-1")
	m.lastHeartbeat, m.recordedByEarlierLeader = 105*time.Second, true
	now := 120 * time.Second
	requireEqual(t, "decisions without an owner", len(r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)), 0)
	shards.setOwner(shard, &peer{member: "a"})
	shard.registeredAt = 110 * time.Second
	requireEqual(t, "decisions with a machine recorded by an earlier leader", len(r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)), 0)
	m.lastHeartbeat, m.lastCurrentHeartbeat = now, now
	m.tasks = []replicaOnMachine{{state: protocol.TaskRunning}} // of an unknown job
	requireEqual(t, "decisions while machines may be unknown", len(r.updateReconciled(&shards, recoveryProgress{}, now)), 0)
	decisions := r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)
	requireEqual(t, "decisions", len(decisions), 1)
	requireEqual(t, "no unknown replicas", decisions[0].noUnknownReplicas, false)
	requireEqual(t, "machines proven by heartbeat", decisions[0].proofs[provenByHeartbeat], 1)
	requireEqual(t, "decisions with an unknown replica", len(r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)), 0)
	m.tasks[0].state = protocol.TaskExited
	decisions = r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)
	requireEqual(t, "decisions once it has exited", len(decisions), 1)
	requireEqual(t, "no unknown replicas once it has exited", decisions[0].noUnknownReplicas, true)
	requireEqual(t, "decisions after that", len(r.updateReconciled(&shards, recoveryProgress{machinesKnown: true}, now)), 0)
}
