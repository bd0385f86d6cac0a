package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// Room is kept for services to come: ordinary machines, which arrays don't get, in
// every zone that spreading needs; and a service's replicas lie on several.
func TestStandbyRoomForServices(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 2 {
		w.worker(fmt.Sprintf("vm-%d", i), []string{"z1", "z2"}[i%2])
	}
	w.run(2 * time.Second)
	n := w.leader()
	want(t, "submit", n.submit(service("wk-1", 4).with("apart", true)).Status, 201)
	for range 20 {
		w.run(time.Second)
		w.boot(0)
	}
	zones := make(map[string]int)
	for _, q := range w.cloud.requests {
		if !q.Spot {
			zones[q.Zone] += q.Count
		}
	}
	if zones["z1"] == 0 || zones["z2"] == 0 {
		t.Fatalf("ordinary machines rented by zone: %v", zones)
	}
	w.cloud.refuse = true
	want(t, "array", n.submit(form("wk-2", 200)).Status, 201)
	for range 10 {
		w.run(time.Second)
	}
	array := len(w.on("wk-2"))
	if array == 0 {
		t.Fatal("nothing of the array runs")
	}
	began := w.now
	want(t, "next", n.submit(service("wk-3", 2)).Status, 201)
	for len(w.on("wk-3")) < 2 && w.now-began < 20*time.Second {
		w.run(time.Second)
	}
	if took := w.now - began; took > 3*time.Second {
		t.Fatalf("its replicas began after %s beside an array", took)
	}
	if now := len(w.on("wk-2")); now < array {
		t.Fatalf("%d of the array's %d tasks run on", now, array)
	}
}

// One machine's loss does not take most of a service's replicas, if there are
// others with room.
func TestReplicasLieOnSeveralMachines(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for i := range 3 {
		w.worker(fmt.Sprintf("vm-%d", i), "z1")
	}
	w.worker("vm-3", "z2")
	w.run(2 * time.Second)
	n := w.leader()
	want(t, "first", n.submit(service("wk-1", 1)).Status, 201)
	w.run(4 * time.Second)
	want(t, "submit", n.submit(service("wk-2", 4)).Status, 201)
	w.run(4 * time.Second)
	want(t, "in one zone that has one machine with room", n.submit(service("wk-3", 2).with("hall", "z2")).Status, 201)
	w.run(4 * time.Second)
	want(t, "its replicas", len(w.on("wk-3")), 2)
	on := w.on("wk-2")
	want(t, "replicas", len(on), 4)
	per := make(map[string]int)
	for _, m := range on {
		if per[m]++; per[m] > 2 {
			t.Fatalf("%d of 4 replicas are on %s", per[m], m)
		}
	}
}

// Where starts are wanted sooner than machines report, two machines are enough: the
// last replica waits for as many reports as there are machines.
func TestReplicasLieOnTwoMachinesIfStartsAreUrgent(t *testing.T) {
	for within, started := range map[float64]int{1: 6, 5: 4} {
		w := newWorld(t, "a", "b", "c")
		for _, name := range w.names {
			w.nodes[name].core.cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: within, Share: 0.9}}
		}
		for i := range 3 {
			w.worker(fmt.Sprintf("vm-%d", i), "z1")
		}
		w.run(2 * time.Second)
		n := w.leader()
		want(t, "first", n.submit(service("wk-1", 1)).Status, 201)
		w.run(4 * time.Second)
		want(t, "submit", n.submit(service("wk-2", 6)).Status, 201)
		w.workers["vm-0"].report()
		w.workers["vm-1"].report()
		want(t, fmt.Sprint("started by two reports, wanted in ", within), len(w.on("wk-2")), started)
	}
}

// A replica is left to a machine that has its image if that one's next report is due
// sooner than the image could be fetched, and not otherwise.
func TestReplicaWaitsForAnImageThatIsNear(t *testing.T) {
	for since, goesTo := range map[time.Duration]string{1800 * time.Millisecond: "vm-0", 200 * time.Millisecond: "vm-1"} {
		w := newWorld(t, "a", "b", "c")
		first := w.worker("vm-0", "z1")
		w.run(2 * time.Second)
		n := w.leader()
		want(t, "first", n.submit(service("wk-1", 1)).Status, 201)
		w.run(4 * time.Second)
		second := w.worker("vm-1", "z1")
		w.run(4 * time.Second)
		want(t, "where the image is", w.on("wk-1")["wk-1/0"], "vm-0")
		first.report()
		w.advance(since - tickEvery)
		want(t, "second", n.submit(service("wk-2", 1)).Status, 201)
		second.report()
		first.report()
		want(t, fmt.Sprint("goes to, last report before ", since), w.on("wk-2")["wk-2/0"], goesTo)
	}
}

// Classes that the users want started soon have a few machines ready before any
// job of them is seen.
func TestStandbyBeforeTheFirstService(t *testing.T) {
	for _, aim := range []string{"wait", "deadline"} {
		w := newWorld(t, "a", "b", "c")
		for _, name := range w.names {
			w.nodes[name].core.cfg.Settings.Objectives = []settings.Objective{{Kind: aim, Class: "portal", WithinS: 5, Share: 0.9}}
		}
		w.crash(w.leader().name)
		w.run(30 * time.Second)
		ordinary := 0
		for _, q := range w.cloud.requests {
			if !q.Spot {
				ordinary += q.Count
			}
		}
		want(t, "ordinary machines for "+aim, ordinary, map[string]int{"wait": 4}[aim])
	}
}

// Of types that cost about as much for a replica the one that boots and fetches
// sooner is rented for services, seen and not; one that costs more is not.
func TestServicesGetTheTypeThatFetchesSooner(t *testing.T) {
	for _, c := range []struct {
		price float64
		seen  bool
		typ   string
	}{{2.2, false, "m16"}, {2.2, true, "m16"}, {3, false, "m8"}, {3, true, "m8"}} {
		w := newWorld(t, "a", "b", "c")
		w.cloud.more = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: c.price, SpotPrice: c.price / 3, BootS: 15, Zones: []string{"z1", "z2"}}}
		w.run(90 * time.Second) // until all know the catalogue
		if c.seen {
			want(t, "submit", w.leader().submit(service("wk-1", 4)).Status, 201)
		} else {
			for _, name := range w.names {
				w.nodes[name].core.cfg.Settings.Objectives = []settings.Objective{{Kind: "wait", Class: "d", WithinS: 5, Share: 0.9}}
			}
			w.crash(w.leader().name)
		}
		w.run(30 * time.Second)
		types := make(map[string]bool)
		for _, q := range w.cloud.requests {
			types[q.Type] = true
		}
		want(t, fmt.Sprintf("types rented at %v, seen: %v", c.price, c.seen), fmt.Sprint(types), fmt.Sprint(map[string]bool{c.typ: true}))
	}
}

// Machines kept for services take them even if other work waits that fits on no
// other type.
func TestServicesOnATypeThatOthersNeed(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.cloud.refuse = true
	w.cloud.more = []protocol.MachineType{{Name: "m16", CPUs: 16, MemoryGB: 128, CacheGB: 50, FetchRate: 2, Price: 2.2, SpotPrice: 0.7, BootS: 15, Zones: []string{"z1", "z2"}}}
	w.run(60 * time.Second) // until all know the catalogue
	w.worker("vm-0", "z1").machine = "m16"
	w.run(2 * time.Second)
	n := w.leader()
	want(t, "first", n.submit(service("wk-1", 2)).Status, 201)
	w.run(4 * time.Second)
	want(t, "array", n.submit(form("wk-2", 4).with("ramGb", 100.0)).Status, 201)
	w.run(2 * time.Second)
	want(t, "second", n.submit(service("wk-3", 3)).Status, 201)
	w.run(4 * time.Second)
	want(t, "replicas", fmt.Sprint(len(w.on("wk-1")), len(w.on("wk-3"))), "2 3")
}

// Machines are not kept for prompt starts while the cloud has too few of their type
// for work that fits on no other: on two recorded days that work missed its deadlines.
func TestStandbyLeavesAScarceTypeToOthers(t *testing.T) {
	w := newWorld(t, "a")
	w.run(60 * time.Second)
	l := w.leader().core.leader
	kind, now := variant{"m8", "z1", false}, w.now
	kept := func() int {
		l.rent.cpus = 1600
		return l.standby.affordable(l.c.fleet.types["m8"], kind, now)
	}
	want(t, "a part of the fleet", kept(), 10)
	l.rent.needs["m8"] = now
	want(t, "others need the type, the cloud has it", kept(), 10)
	l.rent.refused[kind] = now + refusedPause
	want(t, "the cloud refuses it", kept(), 0)
	now += refusedPause + contendedFor
	l.rent.needs["m8"] = now
	want(t, "it has not for a while", kept(), 10)
	l.rent.refused[kind] = now
	delete(l.rent.needs, "m8")
	want(t, "nobody needs it", kept(), 10)
}
