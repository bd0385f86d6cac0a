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

// The warm pool keeps on-demand machines ready for future services, in every zone over which a
// service is spread. Array jobs may not use these machines. A new service starts promptly while an
// array job fills the rest of the fleet, and stops none of the array's tasks.
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
		t.Fatalf("on-demand machines requested by zone: %v, want some in z1 and z2", zones)
	}
	sim.Cloud.RejectsScaleOut = true
	requireEqual(t, "array", n.Submit(simtest.BatchJob("wk-2", 200)).Status, 201)
	for range 10 {
		sim.Run(time.Second)
	}
	array := len(sim.machinesByTask("wk-2"))
	if array == 0 {
		t.Fatal("no task of the array runs")
	}
	submitted := sim.Now()
	requireEqual(t, "next service", n.Submit(simtest.ServiceJob("wk-3", 2)).Status, 201)
	for len(sim.machinesByTask("wk-3")) < 2 && sim.Now()-submitted < 20*time.Second {
		sim.Run(time.Second)
	}
	if took := sim.Now() - submitted; took > 3*time.Second {
		t.Fatalf("the service's replicas started after %s while an array runs, want at most 3s", took)
	}
	if running := len(sim.machinesByTask("wk-2")); running < array {
		t.Fatalf("%d of the array's %d tasks still run, want all", running, array)
	}
}

// A service's replicas are spread over several machines if these have room, so that the loss
// of one machine stops at most half of them. In a zone with only one machine with room they
// all run on that one.
func TestReplicasSpreadOverSeveralMachines(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.AddMachines(3)
	sim.AddMachine("vm-3", "z2")
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "first service", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "second service", n.Submit(simtest.ServiceJob("wk-2", 4)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "service in a zone that has one machine with room", n.Submit(simtest.ServiceJob("wk-3", 2).With("hall", "z2")).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "replicas in the zone with one machine", len(sim.machinesByTask("wk-3")), 2)
	machines := sim.machinesByTask("wk-2")
	requireEqual(t, "replicas of the second service", len(machines), 4)
	replicas := make(map[string]int) // by machine
	for _, m := range machines {
		if replicas[m]++; replicas[m] > 2 {
			t.Fatalf("%d of 4 replicas are on %s, want at most 2", replicas[m], m)
		}
	}
}

// If the start objective is less than the heartbeat interval, replicas are spread over two
// machines only, since the last replica has to wait for the heartbeats of that many machines.
func TestReplicasSpreadOverTwoMachinesForPromptStarts(t *testing.T) {
	for within, started := range map[float64]int{1: 6, 5: 4} {
		t.Run(fmt.Sprint("objective ", within), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			for _, name := range sim.Members {
				controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: within, Share: 0.9}}
			}
			sim.AddMachines(3)
			sim.Run(2 * time.Second)
			n := sim.Leader()
			requireEqual(t, "first service", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
			sim.Run(4 * time.Second)
			requireEqual(t, "second service", n.Submit(simtest.ServiceJob("wk-2", 6)).Status, 201)
			sim.Agents["vm-0"].Heartbeat()
			sim.Agents["vm-1"].Heartbeat()
			requireEqual(t, fmt.Sprint("replicas started after two heartbeats with a start objective in seconds of ", within), len(sim.machinesByTask("wk-2")), started)
		})
	}
}

// A replica waits for a machine that has its image if the next heartbeat of that machine is
// due sooner than the image could be fetched, and not otherwise.
func TestReplicaWaitsForMachineWithItsImage(t *testing.T) {
	for since, wantMachine := range map[time.Duration]string{1800 * time.Millisecond: "vm-0", 200 * time.Millisecond: "vm-1"} {
		t.Run(fmt.Sprint("time since the last heartbeat: ", since), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			first := sim.AddMachine("vm-0", "z1")
			sim.Run(2 * time.Second)
			n := sim.Leader()
			requireEqual(t, "first service", n.Submit(simtest.ServiceJob("wk-1", 1)).Status, 201)
			sim.Run(4 * time.Second)
			second := sim.AddMachine("vm-1", "z1")
			sim.Run(4 * time.Second)
			requireEqual(t, "machine with the image", sim.machinesByTask("wk-1")["wk-1/0"], "vm-0")
			first.Heartbeat()
			sim.Advance(since - tickInterval)
			requireEqual(t, "second service", n.Submit(simtest.ServiceJob("wk-2", 1)).Status, 201)
			second.Heartbeat()
			first.Heartbeat()
			requireEqual(t, fmt.Sprint("machine of the replica, by the time since the last heartbeat, ", since), sim.machinesByTask("wk-2")["wk-2/0"], wantMachine)
		})
	}
}

// For a class with a start objective a few on-demand machines are kept ready before any job
// of the class arrives; an objective of another kind does not have this effect.
func TestWarmPoolBeforeTheFirstService(t *testing.T) {
	for _, objective := range []string{"wait", "deadline"} {
		t.Run(objective, func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			for _, name := range sim.Members {
				controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: objective, Class: "portal", WithinS: 5, Share: 0.9}}
			}
			sim.Crash(sim.Leader().Name)
			sim.Run(30 * time.Second)
			onDemand := 0
			for _, request := range sim.Cloud.ScaleOutRequests {
				if !request.Spot {
					onDemand += request.Count
				}
			}
			requireEqual(t, "on-demand machines for "+objective, onDemand, map[string]int{"wait": 4}[objective])
		})
	}
}

// Among types of about the same price for a replica, the one that boots and fetches images
// faster is requested for services, both before and after the first service was submitted. A
// type that costs more is not.
func TestServicesGetTheTypeThatFetchesFaster(t *testing.T) {
	for _, c := range []struct {
		price       float64
		submitted   bool // a service was submitted; otherwise only the objective asks for machines
		machineType string
	}{{2.2, false, "m16"}, {2.2, true, "m16"}, {3, false, "m8"}, {3, true, "m8"}} {
		t.Run(fmt.Sprintf("m16 at %v, service submitted: %v", c.price, c.submitted), func(t *testing.T) {
			sim := newSimulation(t, "a", "b", "c")
			sim.Cloud.ExtraMachineTypes = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: c.price, SpotPrice: c.price / 3, BootS: 15, Zones: []string{"z1", "z2"}}}
			sim.Run(90 * time.Second) // until all controllers have read the catalog
			if c.submitted {
				requireEqual(t, "submit", sim.Leader().Submit(simtest.ServiceJob("wk-1", 4)).Status, 201)
			} else {
				for _, name := range sim.Members {
					controllerOf(sim.Nodes[name]).cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: 5, Share: 0.9}}
				}
				sim.Crash(sim.Leader().Name)
			}
			sim.Run(30 * time.Second)
			types := make(map[string]bool)
			for _, request := range sim.Cloud.ScaleOutRequests {
				types[request.Type] = true
			}
			requireEqual(t, fmt.Sprintf("types requested with m16 at %v, service submitted: %v", c.price, c.submitted), fmt.Sprint(types), fmt.Sprint(map[string]bool{c.machineType: true}))
		})
	}
}

// Services run on the machines of the warm pool even while a pending array job fits on no
// other type.
func TestServicesUseWarmPoolOfContendedType(t *testing.T) {
	sim := newSimulation(t, "a", "b", "c")
	sim.Cloud.RejectsScaleOut = true
	sim.Cloud.ExtraMachineTypes = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: 2.2, SpotPrice: 0.7, BootS: 15, Zones: []string{"z1", "z2"}}}
	sim.Run(60 * time.Second) // until all controllers have read the catalog
	sim.AddMachine("vm-0", "z1").MachineType = "m16"
	sim.Run(2 * time.Second)
	n := sim.Leader()
	requireEqual(t, "first service", n.Submit(simtest.ServiceJob("wk-1", 2)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "array", n.Submit(simtest.BatchJob("wk-2", 4).With("ramGb", 100.0)).Status, 201)
	sim.Run(2 * time.Second)
	requireEqual(t, "second service", n.Submit(simtest.ServiceJob("wk-3", 3)).Status, 201)
	sim.Run(4 * time.Second)
	requireEqual(t, "replicas of both services", fmt.Sprint(len(sim.machinesByTask("wk-1")), len(sim.machinesByTask("wk-3"))), "2 3")
}

// No machines are kept for prompt starts while the cloud has too few of their type for jobs
// that fit on no other type: on two recorded days such jobs missed their deadlines otherwise.
func TestWarmPoolLeavesScarceTypeToOtherJobs(t *testing.T) {
	sim := newSimulation(t, "a")
	sim.Run(60 * time.Second)
	l := controllerOf(sim.Leader()).leader
	kind, now := machineKind{"m8", "z1", false}, sim.Now()
	affordable := func() int {
		l.autoscaler.counts.reportedCPUs = 1600
		return l.warmPool.affordableMachines(l.env.cloud.Catalog()["m8"], kind, now)
	}
	requireEqual(t, "machines, by the size of the fleet", affordable(), 10)
	l.kinds.exclusiveNeedAt["m8"] = now
	requireEqual(t, "machines if other jobs need the type and the cloud has it", affordable(), 10)
	l.kinds.unavailableUntil[kind] = now + cloud.CapacityBackoff
	requireEqual(t, "machines while the cloud has no more of the kind", affordable(), 0)
	now += cloud.CapacityBackoff + contentionWindow
	l.kinds.exclusiveNeedAt["m8"] = now
	requireEqual(t, "machines once the contention window has passed", affordable(), 10)
	l.kinds.unavailableUntil[kind] = now
	delete(l.kinds.exclusiveNeedAt, "m8")
	requireEqual(t, "machines if no other job needs the type", affordable(), 10)
}
