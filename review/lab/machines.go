//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	typeName    = "plate-16"
	machineCPUs = 16.0
	machineGB   = 128.0
	minGap      = 500 * time.Millisecond
)

// task is one attempt of a task on a machine.
type task struct {
	name    string
	job     *job
	attempt uint64
	state   string // fetching, running, flushing, ended
	cause   string
	left    time.Duration // of the fetch, or of the run
}

func (t *task) onMachine() bool { return t.state == "running" || t.state == "flushing" }

// worker is the agent of one machine, by the rules of PROTOCOL.
type worker struct {
	lab  *lab
	name string
	zone string
	spot bool

	mu           sync.Mutex
	perch, tick  uint64
	baton        uint64
	tasks        []*task
	node         int
	lastAnswered time.Time // when the last answered report was sent, or the session began
	batonChange  time.Time // when a higher token last was a reason to report
	lastSent     time.Time
	next         time.Time
	hung         bool
	muteAnswers  bool // answers to it are lost
	tooLarge     int  // reports that were answered 400
	refusedBytes int  // length of the last of them
	gone         bool
	stop         chan struct{}
	client       *http.Client
}

func (l *lab) newWorker(name, zone string, node int) *worker {
	w := &worker{lab: l, name: name, zone: zone, perch: 1, node: node, lastAnswered: time.Now(), next: time.Now(), stop: make(chan struct{})}
	w.newClient()
	l.mu.Lock()
	l.workers = append(l.workers, w)
	l.mu.Unlock()
	go w.runTasks()
	go w.reportLoop()
	return w
}

func (w *worker) newClient() {
	if w.client != nil {
		w.client.CloseIdleConnections()
	}
	w.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// runTasks advances the tasks and ends the session with the lease.
func (w *worker) runTasks() {
	last := time.Now()
	for range time.Tick(20 * time.Millisecond) {
		now := time.Now()
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.hung {
			last = now
			w.mu.Unlock()
			continue
		}
		if now.Sub(w.lastAnswered) > w.lab.cfg.lease {
			w.endSession(now)
		}
		w.advance(now.Sub(last), now)
		last = now
		w.mu.Unlock()
	}
}

func (w *worker) endSession(now time.Time) {
	if len(w.tasks) > 0 {
		w.lab.record("%s: lease over, session %d ends with %d tasks", w.name, w.perch, len(w.tasks))
	}
	for _, t := range w.tasks {
		if t.onMachine() {
			w.lab.taskOff(t, w, "lease over")
		}
	}
	w.tasks = nil
	w.perch++
	w.lastAnswered = now
}

func (w *worker) advance(d time.Duration, now time.Time) {
	for _, t := range w.tasks {
		if t.state != "fetching" && t.state != "running" {
			continue
		}
		if t.left -= d; t.left > 0 {
			continue
		}
		if t.state == "fetching" {
			t.state, t.left = "running", t.job.run
			if t.job.service {
				t.left = 1000 * time.Hour
			}
			w.lab.taskOn(t, w)
			if w.lab.wasDone(t.name) {
				t.left = 0
			}
		} else {
			t.state, t.cause = "ended", "done"
			w.lab.taskDone(t)
			w.lab.taskOff(t, w, "done")
		}
		w.reportSoon(now)
	}
}

// reportSoon makes the next report due because something changed.
func (w *worker) reportSoon(now time.Time) {
	due := w.lastSent.Add(minGap)
	if due.Before(now) {
		due = now
	}
	if due.Before(w.next) {
		w.next = due
	}
}

func (w *worker) reportLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if w.hung || now.Before(w.next) {
			w.mu.Unlock()
			continue
		}
		w.lastSent = now
		r := w.lab.cfg.report
		w.next = now.Add(time.Duration(float64(r) * (0.75 + 0.5*rand.Float64())))
		perch, node := w.perch, w.node
		body := w.report()
		w.mu.Unlock()
		w.send(node, perch, now, body)
	}
}

// report encodes a report; mu is held.
func (w *worker) report() []byte {
	w.tick++
	pages := []any{}
	for _, t := range w.tasks {
		p := map[string]any{"page": t.name, "try": t.attempt, "status": t.state}
		if t.state == "ended" {
			p["cause"] = t.cause
		}
		pages = append(pages, p)
	}
	return w.lab.codec.Encode(map[string]any{"roost": w.name, "address": "127.0.0.1:1", "breed": typeName, "hall": w.zone, "loaners": w.spot,
		"perch": w.perch, "tick": w.tick, "baton": w.baton, "recallInS": nil, "pages": pages})
}

func (w *worker) send(node int, perch uint64, sentAt time.Time, body []byte) {
	w.lab.saveReport(w, body)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	status, answer := 0, []byte(nil)
	if w.lab.cut[node].Load() {
		// The network holds the report and delivers it after the cut; the answer is dropped.
		go func() {
			for w.lab.cut[node].Load() {
				time.Sleep(20 * time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			post(ctx, w.lab.users, "http://"+w.lab.api[node]+"/checkin", body)
		}()
		<-ctx.Done()
	} else {
		status, answer = post(ctx, w.client, "http://"+w.lab.api[node]+"/checkin", body)
	}
	w.mu.Lock()
	for w.hung && !w.gone { // a hanging machine handles the answer when it resumes
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	now := time.Now()
	if w.muteAnswers || now.Sub(sentAt) > 4*time.Second {
		status = 0
	}
	if w.gone {
		return
	}
	switch status {
	case 200:
		if w.perch == perch {
			w.apply(answer, sentAt, now)
		}
		return
	case 421:
		var redirect protocol.Redirect
		if w.lab.codec.Decode(answer, &redirect) == nil {
			for i := range w.lab.nodes {
				if memberName(i) == redirect.HeartbeatTo && i != node {
					w.node, w.next = i, now.Add(time.Duration(rand.Int64N(int64(minGap))))
					return
				}
			}
		}
	}
	if status == 400 {
		w.tooLarge++
		w.refusedBytes = len(body)
		if w.tooLarge == 1 {
			w.lab.record("%s: its report of %d tasks, %d bytes, is answered 400", w.name, len(w.tasks), len(body))
		}
	}
	if status == 0 {
		w.newClient()
	}
	w.node = (w.node + 1) % len(w.lab.nodes)
	w.next = now.Add(time.Second)
}

// apply executes a response; mu is held.
func (w *worker) apply(answer []byte, sentAt, now time.Time) {
	var r protocol.HeartbeatResponse
	if w.lab.codec.Decode(answer, &r) != nil || r.FencingToken < w.baton || r.FencingToken == 0 {
		return
	}
	// The lease check precedes the response, also after the machine has hung.
	if now.Sub(w.lastAnswered) > w.lab.cfg.lease {
		w.endSession(now)
		return
	}
	if r.FencingToken > w.baton {
		w.baton = r.FencingToken
		if now.Sub(w.batonChange) >= w.lab.cfg.lease/2 {
			w.batonChange = now
			w.reportSoon(now)
		}
	}
	w.lastAnswered = sentAt
	for _, c := range r.Commands {
		w.execute(&c, now)
	}
}

func (w *worker) execute(c *protocol.Command, now time.Time) {
	var t *task
	busy := false
	cpus, gb := 0.0, 0.0
	for _, o := range w.tasks {
		if o.name == c.Task && o.attempt == c.Replica {
			t = o
		}
		if o.state == "ended" {
			continue
		}
		busy = busy || o.name == c.Task
		cpus += o.job.cpus
		gb += o.job.gb
	}
	switch c.Op {
	case protocol.CommandStart:
		if t != nil {
			return
		}
		id, n, _ := strings.Cut(c.Task, "/")
		number, _ := strconv.Atoi(n)
		j := w.lab.job(id)
		t = &task{name: c.Task, job: j, attempt: c.Replica, state: "fetching", left: w.lab.cfg.fetch}
		switch {
		case j == nil || number >= j.tasks:
			t.state, t.cause, t.job = "ended", "no_such", &job{}
		case busy:
			t.state, t.cause = "ended", "in_use"
		case cpus+j.cpus > machineCPUs || gb+j.gb > machineGB:
			t.state, t.cause = "ended", "full"
		}
		w.lab.record("%s: launch %s try %d (token %d): %s %s", w.name, c.Task, c.Replica, w.baton, t.state, t.cause)
		w.tasks = append(w.tasks, t)
		w.reportSoon(now)
	case protocol.CommandStop:
		if t == nil || t.state == "ended" {
			return
		}
		w.lab.record("%s: kill %s try %d (token %d)", w.name, c.Task, c.Replica, w.baton)
		if t.onMachine() {
			w.lab.taskOff(t, w, "killed")
		}
		t.state, t.cause = "ended", "halted"
		w.reportSoon(now)
	case protocol.CommandReap:
		if t == nil || t.state != "ended" {
			return
		}
		for i, o := range w.tasks {
			if o == t {
				w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
				w.reportSoon(now)
				return
			}
		}
	}
}

// hang stops the machine without taking it away, until resume.
func (w *worker) hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = on
	w.lab.record("%s: hangs: %v", w.name, on)
}

// kill takes the machine away with all that is on it.
func (w *worker) kill(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.gone = true
	for _, t := range w.tasks {
		if t.onMachine() {
			w.lab.taskOff(t, w, why)
		}
	}
	w.tasks = nil
	w.lab.record("%s: %s", w.name, why)
}

// cloudMachine is a rented machine as the cloud knows it.
type cloudMachine struct {
	name, zone string
	spot       bool
	rentedAt   time.Time
	goneAt     time.Time // zero: not gone
	upAt       time.Time
	failedAt   time.Time
	worker     *worker
}

// cloud is the cloud's API with a capacity and a lagging list.
type cloud struct {
	lab      *lab
	mu       sync.Mutex
	machines []*cloudMachine
	hires    map[string][]string
	outage   bool
	capacity int
	boot     time.Duration
}

func (c *cloud) live() int {
	n := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// add rents a machine, with mu held. At once: it is up already.
func (c *cloud) add(zone string, spot, atOnce bool) *cloudMachine {
	n := len(c.machines)
	m := &cloudMachine{name: machineName(n), zone: zone, spot: spot, rentedAt: time.Now(), upAt: time.Now().Add(c.boot)}
	c.machines = append(c.machines, m)
	start := func() {
		c.mu.Lock()
		gone := !m.goneAt.IsZero()
		c.mu.Unlock()
		if gone {
			return
		}
		w := c.lab.newWorker(m.name, zone, n%len(c.lab.nodes))
		w.mu.Lock()
		w.spot = spot
		w.mu.Unlock()
		c.mu.Lock()
		m.worker = w
		c.mu.Unlock()
	}
	if atOnce {
		m.rentedAt = time.Now().Add(-time.Hour)
		m.upAt = m.rentedAt
		go start()
	} else {
		time.AfterFunc(c.boot, start)
	}
	return m
}

func machineName(i int) string { return "vm-" + strconv.Itoa(1000000 + i)[1:] }

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	codec := c.lab.codec
	reply := func(status int, v any) {
		b := codec.Encode(v)
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}
	switch {
	case c.outage:
		reply(503, protocol.ErrorBody{Error: "trouble"})
	case r.URL.Path == "/catalog":
		reply(200, protocol.Catalog{Types: []protocol.MachineType{{Name: typeName, CPUs: machineCPUs, MemoryGB: machineGB, CacheGB: 35, FetchRate: 10,
			Price: 1.17, SpotPrice: 0.31, BootS: max(1, c.boot.Seconds()), Zones: c.lab.cfg.zones}}})
	case r.URL.Path == "/hosts/release":
		var names protocol.MachineNames
		if codec.Decode(body, &names) != nil {
			reply(400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		for _, name := range names.Machines {
			for _, m := range c.machines {
				if m.name == name && m.goneAt.IsZero() {
					m.goneAt = time.Now()
					if m.worker != nil {
						m.worker.kill("released")
					}
				}
			}
		}
		reply(200, protocol.ErrorBody{})
	case r.Method == http.MethodPost:
		var request protocol.ScaleOutRequest
		if codec.Decode(body, &request) != nil {
			reply(400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		if names, ok := c.hires[request.RequestID]; ok {
			reply(200, protocol.MachineNames{Machines: names})
			return
		}
		names := []string{}
		for len(names) < request.Count && c.live() < c.capacity {
			names = append(names, c.add(request.Zone, request.Spot, false).name)
		}
		if len(names) == 0 {
			reply(503, protocol.ErrorBody{Error: "no capacity"})
			return
		}
		c.hires[request.RequestID] = names
		c.lab.record("cloud rents %v", names)
		reply(200, protocol.MachineNames{Machines: names})
	default:
		c.list(r, reply)
	}
}

// list answers with the machines as of list_lag_s ago; mu is held.
func (c *cloud) list(r *http.Request, reply func(int, any)) {
	at := time.Now().Add(-c.lab.cfg.listLag)
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	machines := append([]*cloudMachine(nil), c.machines...)
	sort.Slice(machines, func(i, j int) bool { return machines[i].name < machines[j].name })
	for _, m := range machines {
		if m.name <= r.URL.Query().Get("from") || m.rentedAt.After(at) || (!m.goneAt.IsZero() && m.goneAt.Before(at)) {
			continue
		}
		status := "running"
		if m.upAt.After(at) {
			status = "starting"
		}
		if !m.failedAt.IsZero() && m.failedAt.Before(at.Add(-30*time.Second)) {
			status = "failed"
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: m.name, Addr: "127.0.0.1:1", Type: typeName, Zone: m.zone, Spot: m.spot,
			Status: status, AgeS: at.Sub(m.rentedAt).Seconds()})
	}
	reply(200, list)
}

// post sends a request and returns the status and the body; 0 without an answer.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte) {
	return call(ctx, client, http.MethodPost, url, body)
}

func call(ctx context.Context, client *http.Client, method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	b, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
