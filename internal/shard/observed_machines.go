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
	named         bool   // on this stream
	leaderIndex   uint32 // the leader's index
	zone          string
	heardAtUs     int64 // on the leader's clock, of the last heartbeat on this stream
	heardBeforeUs int64 // the same, of the last one that came earlier than that
	lastSeen      time.Duration
	images        []*meshpb.CachedImage
}

// observedMachines is the table of the machines of which the leader has told. It has
// an index of its own for each, as the leader's change from leader to leader.
type observedMachines struct {
	names         nameIndex
	machines      []observedMachine // by this process's index
	byLeaderIndex []int32
	maxMachines   uint32 // that the leader's indices may go up to
}

// resetStream notes that the leader's stream has ended.
func (t *observedMachines) resetStream() {
	t.byLeaderIndex = nil
	for i := range t.machines {
		t.machines[i].heardAtUs, t.machines[i].heardBeforeUs, t.machines[i].named = 0, 0, false
	}
}

// at returns what is known of a machine by this process's index.
func (t *observedMachines) at(machine int32) *observedMachine {
	for int(machine) >= len(t.machines) {
		t.machines = append(t.machines, observedMachine{})
	}
	return &t.machines[machine]
}

// byName returns this process's index of a machine.
func (t *observedMachines) byName(name string) (machine int32, known bool) {
	machine, known = t.names.byName[name]
	return machine, known
}

// local returns this process's index for the leader's.
func (t *observedMachines) local(leaderIndex uint32) int32 {
	if int64(leaderIndex) >= int64(len(t.byLeaderIndex)) {
		return unknownMachine
	}
	return t.byLeaderIndex[leaderIndex]
}

// name takes the index under which the leader tells of a machine from now on.
func (t *observedMachines) name(n *meshpb.MachineName) {
	if n.MachineIndex >= t.maxMachines {
		return
	}
	for int(n.MachineIndex) >= len(t.byLeaderIndex) {
		t.byLeaderIndex = append(t.byLeaderIndex, unknownMachine)
	}
	machine := t.names.index(n.Name)
	t.byLeaderIndex[n.MachineIndex] = machine
	m := t.at(machine)
	m.named, m.leaderIndex, m.zone = true, n.MachineIndex, n.Zone
}

// observe takes what a machine's status tells of the machine itself.
func (t *observedMachines) observe(machine int32, status *meshpb.MachineStatus, clockUs int64, now time.Duration) {
	m := t.at(machine)
	if clockUs > m.heardAtUs {
		m.heardAtUs, m.heardBeforeUs = clockUs, m.heardAtUs
	}
	m.lastSeen = now
	if status.ImagesIncluded {
		m.images = status.Images
	}
}

// forget drops a machine, whose index may then be another's.
func (t *observedMachines) forget(name string, machine int32) {
	m := t.at(machine)
	if m.named {
		t.byLeaderIndex[m.leaderIndex] = unknownMachine
	}
	*m = observedMachine{}
	t.names.release(name)
}

func (t *observedMachines) zoneOf(machine int32) string { return t.at(machine).zone }

// imagesOf is what the last leader knew to be cached on a machine.
func (t *observedMachines) imagesOf(name string) []*meshpb.CachedImage {
	if machine, known := t.byName(name); known {
		return t.at(machine).images
	}
	return nil
}

// nameIndex maps names to dense indices, which are used again once released.
type nameIndex struct {
	byName map[string]int32
	free   []int32
	next   int32
}

func (r *nameIndex) index(name string) int32 {
	if r.byName == nil {
		r.byName = make(map[string]int32)
	}
	i, ok := r.byName[name]
	if ok {
		return i
	}
	if last := len(r.free) - 1; last >= 0 {
		i, r.free = r.free[last], r.free[:last]
	} else {
		i = r.next
		r.next++
	}
	r.byName[name] = i
	return i
}

func (r *nameIndex) release(name string) {
	if i, ok := r.byName[name]; ok {
		delete(r.byName, name)
		r.free = append(r.free, i)
	}
}
