//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// limitAtTakeover: a team is at its limit. The machines with its tasks hang, its job is cancelled,
// and the leader ends. One read of the next leader gets no answer. The hanging machines resume
// within their lease.
func limitAtTakeover(l *lab, trouble bool) int {
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	const machines = 8
	l.cloud.mu.Lock()
	l.cloud.capacity = machines
	for range machines {
		l.cloud.add(l.cfg.zones[0], false, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	leader := l.leader()
	owner := (leader + 1) % len(l.nodes)
	// One small task of another team on each machine keeps the machines rented.
	base := l.addJob(&job{id: "wk-000001", team: "south-desk", tasks: machines, cpus: 3, gb: 100, run: 5 * time.Minute})
	first := l.addJob(&job{id: "wk-000002", team: "north-desk", tasks: 4, cpus: 12, gb: 20, run: time.Minute})
	second := l.addJob(&job{id: "wk-000003", team: "north-desk", tasks: 4, cpus: 12, gb: 20, run: 10 * time.Second})
	if !l.submit(base, owner) || !l.waitStarts(base, machines, 15*time.Second) || !l.submit(first, owner) || !l.waitStarts(first, 4, 15*time.Second) || !l.submit(second, owner) {
		fmt.Println("the jobs did not start")
		return 2
	}
	time.Sleep(4 * time.Second)
	if second.starts > 0 {
		fmt.Println("the team is not at its limit")
		return 2
	}
	var hung []*worker
	if trouble {
		for _, w := range l.workers {
			w.mu.Lock()
			for _, t := range w.tasks {
				if t.job == first && t.state == "running" {
					hung = append(hung, w)
				}
			}
			w.mu.Unlock()
		}
		for _, w := range hung {
			w.hang(true)
		}
	}
	if !l.abort(first, owner) {
		return 2
	}
	if trouble {
		if os.Getenv("LOSE") != "0" {
			lost := false
			l.state.setJudge(func(node int, r *http.Request, t *protocol.Transaction) verdict {
				if lost || r.URL.Path != "/kv" || r.URL.Query().Get("under") != "fleet/" {
					return verdict{}
				}
				lost = true
				l.record("state service: the answer to the read of %q by controller %d is lost", r.URL.RawQuery, node)
				return verdict{loseAnswer: true}
			})
		}
		leader = l.leader()
		l.killNode(leader)
		time.AfterFunc(6*time.Second, func() { _ = l.startNode(leader) })
		time.AfterFunc(12*time.Second, func() {
			for _, w := range hung {
				w.hang(false)
			}
		})
		time.Sleep(13 * time.Second)
	}
	time.Sleep(4 * time.Second)
	l.watchUntil(time.Now().Add(40 * time.Second))
	if !trouble && second.calledDone.IsZero() {
		fmt.Println("the second job did not end")
		return 2
	}
	return l.finish()
}

// waitStarts waits until a job has had a number of starts.
func (l *lab) waitStarts(j *job, starts int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.mu.Lock()
		n := j.starts
		l.mu.Unlock()
		if n >= starts {
			return true
		}
	}
	return false
}
