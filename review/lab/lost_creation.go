//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// lostCreation: users submit 18 one-task jobs at once to one controller. The state service carries
// out the transaction that creates most of them, and its answer is lost. A second later the state
// service is down for 5 s. 90 s after that no accepted job may still wait, as machines have room.
func lostCreation(l *lab, trouble bool) int {
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	l.cloud.mu.Lock()
	l.cloud.capacity = 3
	for range 3 {
		l.cloud.add(l.cfg.zones[0], false, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	// Keeps the machines rented: a task on each, which leaves 6 of 16 CPUs.
	base := l.addJob(&job{id: "wk-000001", team: "north-desk", tasks: 3, cpus: 10, gb: 20, run: 5 * time.Minute})
	if !l.submit(base, 0) {
		return 2
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		l.mu.Lock()
		starts := base.starts
		l.mu.Unlock()
		if starts == 3 {
			break
		}
	}
	const target, burst = 1, 18
	lost := make(chan struct{}, 1)
	if trouble {
		once := false
		l.state.setJudge(func(node int, r *http.Request, t *protocol.Transaction) verdict {
			if once || node != target || t == nil || countJobs(t) < 10 {
				return verdict{}
			}
			once = true
			l.record("state service: a transaction of controller %d with %d changes is carried out, its answer is lost", node, len(t.Then))
			lost <- struct{}{}
			return verdict{loseAnswer: true}
		})
	}
	var wg sync.WaitGroup
	for k := range burst {
		j := l.addJob(&job{id: fmt.Sprintf("wk-%06d", 100+k), team: "north-desk", tasks: 1, cpus: 1, run: 2 * time.Second})
		wg.Add(1)
		go func() { defer wg.Done(); l.submit(j, target) }()
	}
	if trouble {
		select {
		case <-lost:
		case <-time.After(5 * time.Second):
			fmt.Println("no transaction with many jobs was seen")
			return 2
		}
		time.Sleep(delayOfOutage())
		l.state.setOutage(true)
		time.Sleep(5 * time.Second)
		l.state.setOutage(false)
	}
	over := time.Now()
	wg.Wait()
	if os.Getenv("RESTART") != "" {
		l.restartAll(15 * time.Second)
	}
	l.watchUntil(time.Now().Add(91 * time.Second))
	l.checkWaiting(over, 90*time.Second)
	return l.finish()
}

// delayOfOutage is the time from the lost answer to the outage.
func delayOfOutage() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("DELAY")); err == nil {
		return d
	}
	return time.Second
}

func countJobs(t *protocol.Transaction) int {
	n := 0
	for _, c := range t.Then {
		if strings.HasPrefix(c.Put, "job/") {
			n++
		}
	}
	return n
}
