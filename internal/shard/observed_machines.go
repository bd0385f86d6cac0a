package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// unknownMachine is the index of no machine.
const unknownMachine = int32(-1)

// observedMachine is what this process has heard of a machine. Zone and images
// outlast the stream, in case this process leads next.
type observedMachine struct {
	hasLeaderIndex      bool   // on this stream
	leaderIndex         uint32 // the leader's index
	zone                string
	lastHeartbeatUs     int64 // on the leader's clock, of the last heartbeat on this stream
	previousHeartbeatUs int64 // the same, of the last one that came earlier than that
	lastSeenAt          time.Duration
	images              []*meshpb.CachedImage
}

// observedMachines is the table of the machines of which the leader has told. It has
// an index of its own for each, as the leader's change from leader to leader.
type observedMachines struct {
	indices       indexAllocator
	machines      []observedMachine // by this process's index
	byLeaderIndex []int32
	maxMachines   uint32 // that the leader's indices may go up to
}

// resetStream notes that the leader's stream has ended.
func (t *observedMachines) resetStream() {
	t.byLeaderIndex = nil
	for i := range t.machines {
		t.machines[i].lastHeartbeatUs, t.machines[i].previousHeartbeatUs, t.machines[i].hasLeaderIndex = 0, 0, false
	}
}

// at returns what is known of a machine by this process's index.
func (t *observedMachines) entry(machine int32) *observedMachine {
	for int(machine) >= len(t.machines) {
		t.machines = append(t.machines, observedMachine{})
	}
	return &t.machines[machine]
}

// byName returns this process's index of a machine.
func (t *observedMachines) byName(name string) (machine int32, known bool) {
	machine, known = t.indices.byName[name]
	return machine, known
}

// local returns this process's index for the leader's.
func (t *observedMachines) localIndex(leaderIndex uint32) int32 {
	if int64(leaderIndex) >= int64(len(t.byLeaderIndex)) {
		return unknownMachine
	}
	return t.byLeaderIndex[leaderIndex]
}

// name takes the index under which the leader tells of a machine from now on.
func (t *observedMachines) setLeaderIndex(n *meshpb.MachineName) {
	if n.MachineIndex >= t.maxMachines {
		return
	}
	for int(n.MachineIndex) >= len(t.byLeaderIndex) {
		t.byLeaderIndex = append(t.byLeaderIndex, unknownMachine)
	}
	machine := t.indices.indexOf(n.Name)
	t.byLeaderIndex[n.MachineIndex] = machine
	m := t.entry(machine)
	m.hasLeaderIndex, m.leaderIndex, m.zone = true, n.MachineIndex, n.Zone
}

// observe takes what a machine's status tells of the machine itself.
func (t *observedMachines) recordStatus(machine int32, status *meshpb.MachineStatus, clockUs int64, now time.Duration) {
	m := t.entry(machine)
	if clockUs > m.lastHeartbeatUs {
		m.lastHeartbeatUs, m.previousHeartbeatUs = clockUs, m.lastHeartbeatUs
	}
	m.lastSeenAt = now
	if status.ImagesIncluded {
		m.images = status.Images
	}
}

// forget drops a machine, whose index may then be another's.
func (t *observedMachines) remove(name string, machine int32) {
	m := t.entry(machine)
	if m.hasLeaderIndex {
		t.byLeaderIndex[m.leaderIndex] = unknownMachine
	}
	*m = observedMachine{}
	t.indices.release(name)
}

func (t *observedMachines) zoneOf(machine int32) string { return t.entry(machine).zone }

// cachedImages is what the last leader knew to be cached on a machine.
func (t *observedMachines) cachedImages(name string) []*meshpb.CachedImage {
	if machine, known := t.byName(name); known {
		return t.entry(machine).images
	}
	return nil
}

// indexAllocator maps names to dense indices, which are used again once released.
type indexAllocator struct {
	byName      map[string]int32
	freeIndices []int32
	nextIndex   int32
}

func (r *indexAllocator) indexOf(name string) int32 {
	if r.byName == nil {
		r.byName = make(map[string]int32)
	}
	i, ok := r.byName[name]
	if ok {
		return i
	}
	if last := len(r.freeIndices) - 1; last >= 0 {
		i, r.freeIndices = r.freeIndices[last], r.freeIndices[:last]
	} else {
		i = r.nextIndex
		r.nextIndex++
	}
	r.byName[name] = i
	return i
}

func (r *indexAllocator) release(name string) {
	if i, ok := r.byName[name]; ok {
		delete(r.byName, name)
		r.freeIndices = append(r.freeIndices, i)
	}
}
