package coordination

import (
	"fmt"
	"testing"
)

// A service is cancelled at a node that does not lead while machines with its
// replicas can't be reached, and the leader ends; they go on when they may. day
// checks that nothing of it is left after cancel_s, and that nothing starts.
func TestCancelledServiceOnMachinesOutOfReach(t *testing.T) {
	for name, trouble := range map[string]func(k *worker, on bool){
		"hung": func(k *worker, on bool) { k.hung = on },
		"deaf": func(k *worker, on bool) { k.deaf = on },
		"loses its starts": func(k *worker, on bool) {
			k.deaf, k.neverStart = on, on
		},
	} {
		for _, lasts := range []int{6, 30} {
			for _, leaderEnds := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " for ", lasts, " s, leader ends ", leaderEnds), func(t *testing.T) {
					t.Parallel()
					d := newDay(t, uint64(lasts), 6)
					id := d.submitService(d.follower(), 6)
					other := d.submitService(d.leader(), 2)
					d.play(5, func(int) {})
					want(t, "replicas", len(d.on(id)), 6)
					ks := d.machinesOf(4)
					for _, k := range ks {
						trouble(k, true)
					}
					d.ask(d.follower(), "ABORT", id)
					d.play(lasts, func(s int) {
						if s == 2 && leaderEnds {
							d.restart(d.leader().name)
						}
					})
					for _, k := range ks {
						trouble(k, false)
					}
					d.play(25, func(int) {})
					want(t, "left of it", len(d.on(id)), 0)
					d.end()
					want(t, "replicas of the other", len(d.on(other)), 2)
				})
			}
		}
	}
}

// A replica ends by itself in the very moment in which its service is cancelled, its
// owner or the leader ends, both do, or its machine is about to be taken away.
func TestReplicaEndsAsOtherThingsHappen(t *testing.T) {
	for _, why := range []string{"done", "error"} {
		for name, event := range map[string]func(d *day, owner *node, id string, on *worker){
			"cancelled":         func(d *day, owner *node, id string, _ *worker) { d.ask(owner, "ABORT", id) },
			"cancelled nearby":  func(d *day, owner *node, id string, _ *worker) { d.ask(d.third(owner, d.leader()), "ABORT", id) },
			"the owner ends":    func(d *day, owner *node, _ string, _ *worker) { d.restart(owner.name) },
			"the leader ends":   func(d *day, _ *node, _ string, _ *worker) { d.restart(d.leader().name) },
			"all end":           func(d *day, _ *node, _ string, _ *worker) { d.restart("a"); d.restart("b"); d.restart("c") },
			"its machine goes":  func(_ *day, _ *node, _ string, on *worker) { on.notice = 8.0 },
			"an answer is lost": func(_ *day, _ *node, _ string, on *worker) { on.deaf = true },
		} {
			for _, sooner := range []bool{false, true} {
				t.Run(fmt.Sprint(why, ", ", name, ", reported before ", sooner), func(t *testing.T) {
					t.Parallel()
					d := newDay(t, 5, 6)
					owner := d.follower()
					id := d.submitService(owner, 4)
					d.play(25, func(int) {})
					want(t, "replicas", len(d.on(id)), 4)
					on := d.workers[d.on(id)[id+"/0"]]
					for _, task := range on.tasks {
						if task.name == id+"/0" {
							task.state, task.why = "ended", why
						}
					}
					if sooner {
						on.report()
					}
					event(d, owner, id, on)
					if !sooner {
						on.report()
					}
					d.play(20, func(int) {})
					on.deaf = false
					d.end()
					left := 4
					if d.aborted[id] {
						left = 0
					}
					want(t, "replicas at the end", len(d.on(id)), left)
				})
			}
		}
	}
}
