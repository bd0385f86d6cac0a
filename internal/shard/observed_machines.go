package shard

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// unknownMachine is the index that stands for no machine.
const unknownMachine = int32(-1)

// observedMachine is what the leader has reported of a machine. Zone and images are kept
// beyond the end of the stream, in case this process leads next.
type observedMachine struct {
	hasLeaderIndex      bool   // on this stream
	leaderIndex         uint32 // valid if hasLeaderIndex is set
	zone                string
	lastHeartbeatUs     int64         // time of the last heartbeat on this stream, on the leader's clock; 0: none
	previousHeartbeatUs int64         // value of lastHeartbeatUs before it last changed; 0: none
	lastSeenAt          time.Duration // of the last status, on this process's clock
	images              []*meshpb.CachedImage
}

// observedMachines is the table of the machines that leaders have reported. It assigns its
// own index to each, because a leader's indices are valid for one stream.
type observedMachines struct {
	indices       indexAllocator
	machines      []observedMachine // by this process's index
	byLeaderIndex []int32           // this process's index, or unknownMachine
	maxMachines   uint32            // upper bound of a leader's indices, exclusive
}

// resetStream removes the leader's indices and the times of heartbeats when the leader's
// stream has ended.
func (t *observedMachines) resetStream() {
	t.byLeaderIndex = nil
	for i := range t.machines {
		t.machines[i].lastHeartbeatUs, t.machines[i].previousHeartbeatUs, t.machines[i].hasLeaderIndex = 0, 0, false
	}
}

// entry returns the entry of a machine by this process's index, and adds it if necessary.
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

// localIndex returns this process's index for the leader's, or unknownMachine.
func (t *observedMachines) localIndex(leaderIndex uint32) int32 {
	if int64(leaderIndex) >= int64(len(t.byLeaderIndex)) {
		return unknownMachine
	}
	return t.byLeaderIndex[leaderIndex]
}

// setLeaderIndex sets the index by which the leader refers to a machine from now on.
func (t *observedMachines) setLeaderIndex(name *meshpb.MachineName) {
	if name.MachineIndex >= t.maxMachines {
		return
	}
	for int(name.MachineIndex) >= len(t.byLeaderIndex) {
		t.byLeaderIndex = append(t.byLeaderIndex, unknownMachine)
	}
	machine := t.indices.indexOf(name.Name)
	t.byLeaderIndex[name.MachineIndex] = machine
	m := t.entry(machine)
	m.hasLeaderIndex, m.leaderIndex, m.zone = true, name.MachineIndex, name.Zone
}

// recordStatus records what a status reports of the machine itself. clockUs is the time of
// the message on the leader's clock, not before the heartbeat arrived; now is on this
// process's clock.
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

// remove removes a machine; its index may then be assigned to another machine.
func (t *observedMachines) remove(name string, machine int32) {
	m := t.entry(machine)
	if m.hasLeaderIndex {
		t.byLeaderIndex[m.leaderIndex] = unknownMachine
	}
	*m = observedMachine{}
	t.indices.release(name)
}

func (t *observedMachines) zoneOf(machine int32) string { return t.entry(machine).zone }

// cachedImages returns the images cached on a machine, as a leader last reported them.
func (t *observedMachines) cachedImages(name string) []*meshpb.CachedImage {
	if machine, known := t.byName(name); known {
		return t.entry(machine).images
	}
	return nil
}

// indexAllocator assigns dense indices to names, and reuses released indices.
type indexAllocator struct {
	byName      map[string]int32
	freeIndices []int32
	nextIndex   int32
}

func (a *indexAllocator) indexOf(name string) int32 {
	if a.byName == nil {
		a.byName = make(map[string]int32)
	}
	i, ok := a.byName[name]
	if ok {
		return i
	}
	if last := len(a.freeIndices) - 1; last >= 0 {
		i, a.freeIndices = a.freeIndices[last], a.freeIndices[:last]
	} else {
		i = a.nextIndex
		a.nextIndex++
	}
	a.byName[name] = i
	return i
}

func (a *indexAllocator) release(name string) {
	if i, ok := a.byName[name]; ok {
		delete(a.byName, name)
		a.freeIndices = append(a.freeIndices, i)
	}
}
