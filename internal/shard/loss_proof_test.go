package shard

import (
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

func TestProofOfReplicaLoss(t *testing.T) {
	const number = 7
	current := func(change func(*meshpb.MachineStatus)) *meshpb.MachineStatus {
		s := &meshpb.MachineStatus{Epoch: 2, Seq: 5, Current: true, CompleteForShards: []uint32{number}}
		change(s)
		return s
	}
	confirmed := registration{sent: true, registeredAtUs: 100, shardNumber: number}
	placed := supervisedTask{state: TaskPlaced, epoch: 2, sequence: 4}
	assigned := supervisedTask{state: TaskAssigned, epoch: 2, sequence: 4}
	unmodified := func(*meshpb.MachineStatus) {}
	for _, test := range []struct {
		name           string
		task           supervisedTask
		registration   registration
		status         *meshpb.MachineStatus
		heartbeatSince bool
		want           lossReason
	}{
		{"complete status", placed, confirmed, current(unmodified), false, lossNotListed},
		{"complete status after the start", assigned, confirmed, current(unmodified), false, lossNotListed},
		{"status sent before the start", assigned, confirmed, current(func(s *meshpb.MachineStatus) { s.Seq = 4 }), false, notLost},
		{"status of an earlier epoch than the start", assigned, confirmed, current(func(s *meshpb.MachineStatus) { s.Epoch = 1 }), false, notLost},
		{"later epoch", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.Epoch = 3 }), false, lossLaterEpoch},
		{"later epoch, not current", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.Epoch, s.Current = 3, false }), false, lossLaterEpoch},
		{"not current", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.Current = false }), false, notLost},
		{"unchanged", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.Unchanged = true }), false, notLost},
		{"unchanged, so the start did not arrive", assigned, confirmed, current(func(s *meshpb.MachineStatus) { s.Unchanged = true }), false, lossNotListed},
		{"unchanged and incomplete", assigned, confirmed, current(func(s *meshpb.MachineStatus) { s.Unchanged, s.CompleteForShards = true, nil }), false, notLost},
		{"incomplete", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.CompleteForShards = nil }), true, lossUnproven},
		{"complete for another shard", placed, confirmed, current(func(s *meshpb.MachineStatus) { s.CompleteForShards = []uint32{number + 1} }), true, lossUnproven},
		{"registration not confirmed", placed, registration{sent: true, registeredAtUs: registrationRequested, shardNumber: number}, current(unmodified), true, lossUnproven},
		{"leader that gives no numbers", placed, registration{sent: true, registeredAtUs: 100}, current(unmodified), false, lossUnproven},
		{"leader that gives no numbers, heartbeat since", placed, registration{sent: true, registeredAtUs: 100}, current(unmodified), true, lossNotListed},
	} {
		t.Run(test.name, func(t *testing.T) {
			observation := machineObservation{status: test.status, heartbeatSinceRegistration: test.heartbeatSince}
			if got := observation.proveLoss(&test.task, &test.registration); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

func TestHeartbeatSinceRegistration(t *testing.T) {
	for _, test := range []struct {
		name                              string
		registeredUs, previousHeartbeatUs int64
		want                              bool
	}{
		{"no shard is registered", 0, 10, false},
		{"one heartbeat since", 10, 9, false},
		{"two heartbeats since", 10, 10, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := sentHeartbeatSince(test.registeredUs, test.previousHeartbeatUs); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

func TestLeaseExpiry(t *testing.T) {
	const timeout = 50
	for _, test := range []struct {
		name                                   string
		registeredAtUs, lastHeartbeatUs, nowUs int64
		want                                   bool
	}{
		{"registration not confirmed", registrationRequested, 0, 1000, false},
		{"heartbeat within the timeout", 100, 200, 250, false},
		{"heartbeat longer ago", 100, 200, 251, true},
		{"registered after the heartbeat", 210, 200, 251, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := registration{sent: true, registeredAtUs: test.registeredAtUs}
			if got := r.leaseExpired(test.lastHeartbeatUs, test.nowUs, timeout); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
