package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/simtest"
)

// Room is kept for services to come: ordinary machines, which arrays don't get, in
// every zone that spreading needs; and a service's replicas lie on several.
func TestWarmPoolForServices(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	for i := range 2 {
		sim.AddMachine(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "submit", n.Submit(simtest.ServiceJob("wk-1", 4).With("apart", true)).Status, 201)
	for range 20 {
		sim.Run(time.Second)
		sim.BootMachines(0)
	}
	zones := make(map[string]int)
	for _, request := range sim.Cloud.ScaleOutRequests {
		if !request.Spot {
			zones[request.Zone] += request.Count
		}
	}
	if zones["z1"] == 0 || zones["z2"] == 0 {
		t.Fatalf("ordinary machines rented by zone: %v", zones)
	}
	sim.Cloud.RefusesScaleOut = true
	requireEqual(t, "array", n.Submit(simtest.BatchJob("wk-2", 200)).Status, 201)
	for range 10 {
		sim.Run(time.Second)
	}
	array := len(sim.machinesByTask("wk-2"))
	if array == 0 {
		t.Fatal("nothing of the array runs")
	}
	began := sim.Now()
	requireEqual(t, "next", n.Submit(simtest.ServiceJob("wk-3", 2)).Status, 201)
	for len(sim.machinesByTask("wk-3")) < 2 && sim.Now()-began < 20*time.Second {
		sim.Run(time.Second)
	}
	if took := sim.Now() - began; took > 3*time.Second {
		t.Fatalf("its replicas began after %s beside an array", took)
	}
	if now := len(sim.machinesByTask("wk-2")); now < array {
		t.Fatalf("%d of the array's %d tasks run on", now, array)
	}
}

// One machine's loss does not take most of a service's replicas, if there are
// others with room.
func TestReplicasSpreadOverSeveralMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(3)
	sim.AddMachine("vm-3", "z2")
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "first", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "submit", n.Submit(simtest.ServiceJob("wk-2", 4)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "in one zone that has one machine with room", n.Submit(simtest.ServiceJob("wk-3", 2).With("hall", "z2")).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "its replicas", len(sim.machinesByTask("wk-3")), 2)
	on := sim.machinesByTask("wk-2")
	requireEqual(t, "replicas", len(on), 4)
	per := make(map[string]int)
	for _, m := range on {
		if per[m]++; per[m] > 2 {
			t.Fatalf("%d of 4 replicas are on %s", per[m], m)
		}
	}
}

// Where starts are wanted sooner than machines send heartbeats, two machines are enough: the
// last replica waits for as many heartbeats as there are machines.
func TestReplicasSpreadOverTwoMachinesForPromptStarts(t *testing.T) {
	for within, started := range map[float64]int{1: 6, 5: 4} {
		t.Run(fmt.Sprint("wanted in ", within), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			for _, name := range sim.Names {
				controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: within, Share: 0.9}}
			}
			sim.AddMachines(3)
			sim.Run(2 * time.Second)
			n := sim.Leader()
			requireEqual(t, "first", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
			sim.Run(4 * time.Second)
			requireEqual(t, "submit", n.Submit(simtest.ServiceJob("wk-2", 6)).Status, 201)
			sim.Agents["vm-0"].Heartbeat()
			sim.Agents["vm-1"].Heartbeat()
			requireEqual(t, fmt.Sprint("started by two heartbeats, wanted in ", within), len(sim.machinesByTask("wk-2")), started)
		})
	}
}

// A replica is left to a machine that has its image if that one's next heartbeat is due
// sooner than the image could be fetched, and not otherwise.
func TestReplicaWaitsForMachineWithItsImage(t *testing.T) {
	for since, goesTo := range map[time.Duration]string{1800 * time.Millisecond: "vm-0", 200 * time.Millisecond: "vm-1"} {
		t.Run(fmt.Sprint("last heartbeat before ", since), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			first := sim.AddMachine("vm-0", "z1")
			sim.Run(2 * time.Second)
			n := sim.Leader()
			requireEqual(t, "first", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
			sim.Run(4 * time.Second)
			second := sim.AddMachine("vm-1", "z1")
			sim.Run(4 * time.Second)
			requireEqual(t, "where the image is", sim.machinesByTask("wk-1")["wk-1/0"], "vm-0")
			first.Heartbeat()
			sim.Advance(since - tickInterval)
			requireEqual(t, "second", n.Submit(simtest.ServiceJob("wk-2", 1)).Status, 201)
			second.Heartbeat()
			first.Heartbeat()
			requireEqual(t, fmt.Sprint("goes to, last heartbeat before ", since), sim.machinesByTask("wk-2")["wk-2/0"], goesTo)
		})
	}
}

// Classes that the users want started soon have a few machines ready before any
// job of them is seen.
func TestWarmPoolBeforeTheFirstService(t *testing.T) {
	for _, aim := range []string{"wait", "deadline"} {
		t.Run(aim, func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			for _, name := range sim.Names {
				controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: aim, Class: "portal", WithinS: 5, Share: 0.9}}
			}
			sim.Crash(sim.Leader().Name)
			sim.Run(30 * time.Second)
			ordinary := 0
			for _, request := range sim.Cloud.ScaleOutRequests {
				if !request.Spot {
					ordinary += request.Count
				}
			}
			requireEqual(t, "ordinary machines for "+aim, ordinary, map[string]int{"wait": 4}[aim])
		})
	}
}

// Of types that cost about as much for a replica the one that boots and fetches
// sooner is rented for services, seen and not; one that costs more is not.
func TestServicesGetTheTypeThatFetchesFaster(t *testing.T) {
	for _, c := range []struct {
		price float64
		seen  bool
		typ   string
	}{{2.2, false, "m16"}, {2.2, true, "m16"}, {3, false, "m8"}, {3, true, "m8"}} {
		t.Run(fmt.Sprintf("m16 at %v, seen: %v", c.price, c.seen), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.Cloud.MoreTypes = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: c.price, SpotPrice: c.price / 3, BootS: 15, Zones: []string{"z1", "z2"}}}
			sim.Run(90 * time.Second) // until all know the catalogue
			if c.seen {
				requireEqual(t, "submit", sim.Leader().Submit(simtest.ServiceJob("wk-1", 4)).Status, 201)
			} else {
				for _, name := range sim.Names {
					controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: 5, Share: 0.9}}
				}
				sim.Crash(sim.Leader().Name)
			}
			sim.Run(30 * time.Second)
			types := make(map[string]bool)
			for _, request := range sim.Cloud.ScaleOutRequests {
				types[request.Type] = true
			}
			requireEqual(t, fmt.Sprintf("types rented at %v, seen: %v", c.price, c.seen), fmt.Sprint(types), fmt.Sprint(map[string]bool{c.typ: true}))
		})
	}
}

// Machines kept for services take them even if other work waits that fits on no
// other type.
func TestServicesUseWarmPoolOfContendedType(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Cloud.RefusesScaleOut = true
	sim.Cloud.MoreTypes = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: 2.2, SpotPrice: 0.7, BootS: 15, Zones: []string{"z1", "z2"}}}
	sim.Run(60 * time.Second) // until all know the catalogue
	sim.AddMachine("vm-0", "z1").MachineType = "m16"
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "first", n.Submit(simtest.ServiceJob("wk-1", 2)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "array", n.Submit(simtest.BatchJob("wk-2", 4).With("ramGb", 100.0)).Status, 201)
	sim.Run(2 * time.Second)
	requireEqual(t, "second", n.Submit(simtest.ServiceJob("wk-3", 3)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "replicas", fmt.Sprint(len(sim.machinesByTask("wk-1")), len(sim.machinesByTask("wk-3"))), "2 3")
}

// Machines are not kept for prompt starts while the cloud has too few of their type
// for work that fits on no other: on two recorded days that work missed its deadlines.
func TestWarmPoolLeavesScarceTypeToOtherJobs(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Run(60 * time.Second)
	l := controllerOf(sim.Leader()).leader
	kind, now := machineKind{"m8", "z1", false}, sim.Now()
	kept := func() int {
		l.autoscaler.counts.reportedCPUs = 1600
		return l.warmPool.affordableMachines(l.env.cloud.Catalog()["m8"], kind, now)
	}
	requireEqual(t, "a part of the fleet", kept(), 10)
	l.kinds.exclusiveNeedAt["m8"] = now
	requireEqual(t, "others need the type, the cloud has it", kept(), 10)
	l.kinds.unavailableUntil[kind] = now + cloud.CapacityBackoff
	requireEqual(t, "the cloud refuses it", kept(), 0)
	now += cloud.CapacityBackoff + contentionWindow
	l.kinds.exclusiveNeedAt["m8"] = now
	requireEqual(t, "it has not for a while", kept(), 10)
	l.kinds.unavailableUntil[kind] = now
	delete(l.kinds.exclusiveNeedAt, "m8")
	requireEqual(t, "nobody needs it", kept(), 10)
}
