//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// chaos brings about random troubles, one to three at once, while users submit, ask and cancel.
func chaos(l *lab, seed uint64, length time.Duration, trouble bool) int {
	rng := rand.New(rand.NewPCG(seed, 7))
	for i := range l.nodes {
		if err := l.startNode(i); err != nil {
			return 2
		}
	}
	l.cloud.mu.Lock()
	l.cloud.capacity = 10
	for k := range 6 {
		l.cloud.add(l.cfg.zones[k%len(l.cfg.zones)], k < 2, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(15 * time.Second) {
		fmt.Println("controllers are not ready")
		return 2
	}
	var mu sync.Mutex // guards the shares
	late, lose := 0.0, 0.0
	l.state.setJudge(func(node int, r *http.Request, t *protocol.Transaction) verdict {
		if t == nil {
			return verdict{}
		}
		mu.Lock()
		defer mu.Unlock()
		switch x := rand.Float64(); {
		case x < late:
			return verdict{applyLate: 2*time.Second + time.Duration(rand.Int64N(int64(8*time.Second)))}
		case x < late+lose:
			return verdict{loseAnswer: true}
		}
		return verdict{}
	})
	var copyShare float64
	l.onSave = func(w *worker, body []byte) {
		mu.Lock()
		share := copyShare
		mu.Unlock()
		if rand.Float64() >= share {
			return
		}
		b := append([]byte(nil), body...)
		delay := 2*time.Second + time.Duration(rand.Int64N(int64(12*time.Second)))
		time.AfterFunc(delay, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			post(ctx, l.users, "http://"+l.api[rand.IntN(len(l.api))]+"/checkin", b)
		})
	}
	stop := time.Now().Add(length)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // users
		defer wg.Done()
		for k := 0; time.Now().Before(stop); k++ {
			t := l.cfg.teams[rng.IntN(len(l.cfg.teams))]
			run := time.Duration(1+rand.IntN(8)) * time.Second
			if rand.IntN(5) == 0 {
				run = time.Duration(15+rand.IntN(20)) * time.Second
			}
			most := 5
			if os.Getenv("BURST") != "" {
				most = 2
			}
			j := l.addJob(&job{id: fmt.Sprintf("wk-%06d", k), team: t.name, tasks: 1 + rand.IntN(most), cpus: float64(1 + rand.IntN(4)), run: run,
				urgency: []string{"standard", "urgent"}[rand.IntN(2)]})
			if os.Getenv("SMALL") != "" && rand.IntN(10) == 0 {
				j.tasks, j.cpus, j.run = 30+rand.IntN(300), 0.25, time.Second
			}
			switch rand.IntN(8) {
			case 0:
				j.together = true
			case 1:
				j.apart = true
			case 2:
				j.hall = l.cfg.zones[rand.IntN(len(l.cfg.zones))]
			case 3:
				j.ordinary = true
			case 4:
				j.service, j.urgency, j.tasks, j.cpus, j.ordinary, j.apart = true, "production", 2+rand.IntN(2), 1, true, rand.IntN(2) == 0
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.userOf(j, stop)
			}()
			if j.service {
				time.AfterFunc(10*time.Second+time.Duration(rand.IntN(60))*time.Second, func() {
					l.mu.Lock()
					accepted := !j.acceptedAt.IsZero()
					l.mu.Unlock()
					if accepted {
						l.abort(j, rand.IntN(len(l.nodes)))
					}
				})
			}
			if os.Getenv("BURST") == "" {
				time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond)
			} else if k%20 == 19 {
				time.Sleep(time.Duration(3000+rand.IntN(3000)) * time.Millisecond)
			}
		}
	}()
	troubles := []func(time.Duration){
		func(d time.Duration) { l.state.setOutage(true); time.Sleep(d); l.state.setOutage(false) },
		func(d time.Duration) {
			i := l.busy(rng)
			l.state.setRefused(i, true)
			time.Sleep(d)
			l.state.setRefused(i, false)
		},
		func(d time.Duration) {
			i := l.busy(rng)
			l.killNode(i)
			time.Sleep(d / 3)
			_ = l.startNode(i)
		},
		func(d time.Duration) {
			for i := range l.nodes {
				l.killNode(i)
			}
			time.Sleep(d / 4)
			for i := range l.nodes {
				_ = l.startNode(i)
			}
		},
		func(d time.Duration) { i := l.busy(rng); l.pauseNode(i, true); time.Sleep(d); l.pauseNode(i, false) },
		func(d time.Duration) {
			ws := l.someWorkers(1 + rand.IntN(3))
			for _, w := range ws {
				w.hang(true)
			}
			time.Sleep(d)
			for _, w := range ws {
				w.hang(false)
			}
		},
		func(d time.Duration) {
			ws := l.someWorkers(1 + rand.IntN(3))
			for _, w := range ws {
				w.mu.Lock()
				w.muteAnswers = true
				w.mu.Unlock()
				l.record("%s: answers are lost", w.name)
			}
			time.Sleep(d)
			for _, w := range ws {
				w.mu.Lock()
				w.muteAnswers = false
				w.mu.Unlock()
			}
		},
		func(d time.Duration) {
			mu.Lock()
			late = 0.3
			mu.Unlock()
			time.Sleep(d)
			mu.Lock()
			late = 0
			mu.Unlock()
		},
		func(d time.Duration) {
			mu.Lock()
			lose = 0.4
			mu.Unlock()
			time.Sleep(d)
			mu.Lock()
			lose = 0
			mu.Unlock()
		},
		func(d time.Duration) {
			mu.Lock()
			copyShare = 0.3
			mu.Unlock()
			time.Sleep(d)
			mu.Lock()
			copyShare = 0
			mu.Unlock()
		},
		func(d time.Duration) { l.setPaths(-1, pathRefuse); time.Sleep(d); l.setPaths(-1, pathOpen) },
		func(d time.Duration) {
			i := l.busy(rng)
			l.setPaths(i, pathHold)
			time.Sleep(d)
			l.setPaths(i, pathOpen)
		},
		func(d time.Duration) {
			i := l.busy(rng)
			l.setPaths(i, pathHold)
			l.state.setRefused(i, true)
			time.Sleep(d)
			l.state.setRefused(i, false)
			l.setPaths(i, pathOpen)
		},
		func(d time.Duration) { i := l.busy(rng); l.cut[i].Store(true); time.Sleep(d); l.cut[i].Store(false) },
	}
	for trouble && time.Now().Before(stop.Add(-10*time.Second)) {
		var inner sync.WaitGroup
		for range 1 + rng.IntN(3) {
			kinds := []int{0, 1, 2, 4, 7, 8, 8, 0, 0, 12}
			if os.Getenv("BURST") == "" {
				kinds = rng.Perm(len(troubles))
			}
			k, d := kinds[rng.IntN(len(kinds))], time.Duration(1000+rng.IntN(9000))*time.Millisecond
			offset := time.Duration(rng.IntN(3000)) * time.Millisecond
			inner.Add(1)
			go func() { defer inner.Done(); time.Sleep(offset); l.record("trouble %d for %v", k, d); troubles[k](d) }()
		}
		inner.Wait()
		for i := range l.nodes {
			l.pauseNode(i, false)
		}
		l.checkAlive()
		for i := range l.nodes {
			if !l.alive(i) {
				_ = l.startNode(i)
			}
		}
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
	over := time.Now()
	l.record("troubles are over")
	wg.Wait()
	l.watchUntil(time.Now().Add(95 * time.Second))
	l.checkWaiting(over, 90*time.Second)
	l.mu.Lock()
	for _, j := range l.order {
		if !j.acceptedAt.IsZero() && j.calledDone.IsZero() && j.calledOff.IsZero() && j.askedOff.IsZero() {
			l.record("UNFINISHED: %s accepted %.1f s ago, %d of %d tasks done, %d starts, last answer %.1f s ago", j.id, time.Since(j.acceptedAt).Seconds(),
				len(j.done), j.tasks, j.starts, time.Since(j.lastAnswer).Seconds())
			fmt.Println("unfinished:", j.id)
		}
		if !j.askedOff.IsZero() && j.calledOff.IsZero() && j.calledDone.IsZero() {
			l.record("UNANSWERED: cancellation of %s", j.id)
			fmt.Println("unanswered:", j.id)
		}
	}
	l.record("rate rejections: %d", l.state.rejectedRate)
	l.mu.Unlock()
	return l.finish()
}

// busy returns the leader, or another controller.
func (l *lab) busy(rng *rand.Rand) int {
	if i := l.leader(); i >= 0 && rng.IntN(2) == 0 {
		return i
	}
	return rng.IntN(len(l.nodes))
}

func (l *lab) someWorkers(n int) []*worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*worker
	for _, k := range rand.Perm(len(l.workers)) {
		w := l.workers[k]
		if !w.gone && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// userOf submits a job, asks about it and may cancel it.
func (l *lab) userOf(j *job, stop time.Time) {
	if !l.submit(j, rand.IntN(len(l.nodes))) {
		return
	}
	for i := range l.nodes {
		go l.poll(j, i)
	}
	cancelAt := time.Time{}
	if rand.IntN(4) == 0 {
		// About when the last task may end.
		cancelAt = time.Now().Add(j.run + 200*time.Millisecond + time.Duration(rand.IntN(2000))*time.Millisecond)
	}
	if rand.IntN(4) == 0 {
		cancelAt = time.Now().Add(time.Duration(rand.IntN(8000)) * time.Millisecond)
	}
	for time.Now().Before(stop) {
		if !cancelAt.IsZero() && time.Now().After(cancelAt) {
			cancelAt = time.Time{}
			if l.abort(j, rand.IntN(len(l.nodes))) {
				var polls sync.WaitGroup
				for k := range 2 * len(l.nodes) {
					polls.Add(1)
					go func() { defer polls.Done(); l.poll(j, k%len(l.nodes)) }()
				}
				polls.Wait()
			}
		}
		if _, text := l.poll(j, rand.IntN(len(l.nodes))); text == "done" || text == "withdrawn" {
			for i := range l.nodes {
				l.poll(j, i)
			}
			if rand.IntN(3) == 0 {
				l.submit(j, rand.IntN(len(l.nodes)))
			}
			return
		}
		time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
	}
}
