//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// config is a small deployment.
type config struct {
	nodes         int
	zones         []string
	teams         []team
	report, lease time.Duration
	cancel        time.Duration
	fetch         time.Duration
	stateRPS      float64
	stateWriteRPS float64
	valueKB       float64
	txnOps        int
	cloudRPS      float64
	listLag       time.Duration
	memMB         float64
	sockets       int
}

// team has a guarantee and a limit in CPUs; a limit of 0 is none.
type team struct {
	name       string
	cpus, most float64
}

func formosa() config {
	return config{nodes: 3, zones: []string{"taichung-room"}, teams: []team{{"north-desk", 200, 1500}, {"south-desk", 128, 500}},
		report: 2500 * time.Millisecond, lease: 16 * time.Second, cancel: 46 * time.Second, fetch: 200 * time.Millisecond,
		stateRPS: 200, stateWriteRPS: 40, valueKB: 8, txnOps: 32, cloudRPS: 3, listLag: 6 * time.Second, memMB: 179, sockets: 1800}
}

// job is a job as its user submitted it and as the machines and answers have shown it.
type job struct {
	id        string
	team      string
	tasks     int
	cpus, gb  float64
	run       time.Duration
	urgency   string
	hall      string
	together  bool
	apart     bool
	ordinary  bool // may not use spot machines
	service   bool
	done      map[string]bool // tasks that have completed
	submitted bool
	acceptedAt,
	calledOff, // when the user was told that it is cancelled
	calledDone,
	askedOff,
	firstStart time.Time
	starts     int
	answers500 int
	lastAnswer time.Time
}

type node struct {
	config string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
	paused bool
	starts int
}

// lab is one deployment on loopback with the observations of all stand-ins.
type lab struct {
	cfg     config
	codec   *protocol.Codec
	dir     string
	command []string
	state   *stateService
	cloud   *cloud
	nodes   []*node
	api     []string
	mesh    []string
	startAt time.Time
	users   *http.Client

	mu      sync.Mutex
	out     *os.File
	workers []*worker
	jobs    map[string]*job
	order   []*job
	where   map[string][]*worker // machines that a task is on
	inUse   map[string]float64
	faults  []string
	onSave  func(w *worker, body []byte)

	nodesMu sync.Mutex
	spawn   chan *exec.Cmd
	spawned chan error
	paths   []*meshPath
	cut     [8]atomic.Bool // controllers that machines can't reach
}

// spawnAll starts processes on one thread that lasts as long as this program, since they are
// killed when the thread that started them ends.
func (l *lab) spawnAll() {
	runtime.LockOSThread()
	for cmd := range l.spawn {
		l.spawned <- cmd.Start()
	}
}

func newLab(cfg config, out *os.File, command []string) (*lab, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{cfg: cfg, codec: codec, dir: dir, command: command, startAt: time.Now(), out: out, jobs: map[string]*job{}, where: map[string][]*worker{},
		inUse: map[string]float64{}, spawn: make(chan *exec.Cmd), spawned: make(chan error), users: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	go l.spawnAll()
	l.state = newStateService(l)
	l.cloud = &cloud{lab: l, hires: map[string][]string{}, boot: 3 * time.Second}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, http.HandlerFunc(l.cloud.serve))
	for range cfg.nodes {
		l.api = append(l.api, freeAddress())
		l.mesh = append(l.mesh, freeAddress())
	}
	for i := range cfg.nodes {
		stateAddr, err := l.state.listen(i)
		if err != nil {
			return nil, err
		}
		n := &node{config: filepath.Join(dir, fmt.Sprintf("%s.toml", memberName(i)))}
		if err := os.WriteFile(n.config, []byte(l.settings(i, stateAddr, ln.Addr().String())), 0o600); err != nil {
			return nil, err
		}
		l.nodes = append(l.nodes, n)
	}
	return l, nil
}

func memberName(i int) string { return fmt.Sprintf("roost-%d", i) }

var nextPort = 20000 + os.Getpid()*7%8000

// freeAddress returns an address below the range of ephemeral ports, so that no connection takes it
// while its controller restarts.
func freeAddress() string {
	for range 1000 {
		nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp4", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	panic("no free port")
}

func (l *lab) settings(i int, stateAddr, cloudAddr string) string {
	var b strings.Builder
	c := &l.cfg
	fmt.Fprintf(&b, "member = %q\nsite = %q\napi_addr = %q\nmesh_addr = %q\n", memberName(i), c.zones[0], l.api[i], l.mesh[i])
	for k := range c.nodes {
		if k != i {
			addr := l.mesh[k]
			if i < k {
				p, proxied := l.newMeshPath(i, k, addr)
				l.paths, addr = append(l.paths, p), proxied
			}
			fmt.Fprintf(&b, "[[known]]\nmember = %q\nsite = %q\naddress = %q\n", memberName(k), c.zones[0], addr)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[settings]\ninitial_size = %d\nclock_off_ms = 100.0\nzones = [", cloudAddr, stateAddr, c.nodes)
	for _, z := range c.zones {
		fmt.Fprintf(&b, "%q,", z)
	}
	b.WriteString("]\n")
	for _, t := range c.teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.most)
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = 35.0\ngang_peer_s = 4.0\ncancel_s = %.3f\n", c.report.Seconds(), c.lease.Seconds(), c.cancel.Seconds())
	fmt.Fprintf(&b, "[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", c.stateRPS, c.stateWriteRPS, c.valueKB, c.txnOps)
	fmt.Fprintf(&b, "[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n[settings.limits]\ncores = 0.144\nmem_mb = %.1f\nsockets = %d\n", c.cloudRPS, c.listLag.Seconds(), c.memMB, c.sockets)
	return b.String()
}

func (l *lab) record(format string, args ...any) {
	fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// fault records a broken rule.
func (l *lab) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.record("RULE BROKEN: %s", text)
	l.faults = append(l.faults, fmt.Sprintf("%.3f %s", time.Since(l.startAt).Seconds(), text))
}

// startNode starts a controller with the run command of the deploy file.
func (l *lab) startNode(i int) error {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	if l.alive(i) {
		return nil
	}
	n := l.nodes[i]
	log, err := os.OpenFile(filepath.Join(l.dir, memberName(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(l.command[0], append(l.command[1:len(l.command):len(l.command)], n.config)...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.spawn <- cmd
	if err := <-l.spawned; err != nil {
		return err
	}
	n.cmd, n.log, n.exited, n.paused = cmd, log, make(chan struct{}), false
	n.starts++
	exited := n.exited
	go func() { _ = cmd.Wait(); close(exited); log.Close() }()
	l.record("controller %d started", i)
	return nil
}

func logLevel() string {
	if v := os.Getenv("LAB_LOG"); v != "" {
		return v
	}
	return "info"
}

func (l *lab) alive(i int) bool {
	n := l.nodes[i]
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// killNode ends a controller without a signal that it could handle.
func (l *lab) killNode(i int) {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	if !l.alive(i) {
		return
	}
	_ = l.nodes[i].cmd.Process.Kill()
	<-l.nodes[i].exited
	l.nodes[i].cmd = nil
	l.record("controller %d killed", i)
}

func (l *lab) pauseNode(i int, on bool) {
	if !l.alive(i) {
		return
	}
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	_ = l.nodes[i].cmd.Process.Signal(sig)
	l.nodes[i].paused = on
	l.record("controller %d paused: %v", i, on)
}

func (l *lab) close() {
	for i := range l.nodes {
		l.killNode(i)
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// crashed reports controllers that have ended by themselves.
func (l *lab) checkAlive() {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	for i, n := range l.nodes {
		if n.cmd != nil && !l.alive(i) {
			b, _ := os.ReadFile(filepath.Join(l.dir, memberName(i)+".log"))
			if len(b) > 4000 {
				b = b[len(b)-4000:]
			}
			l.mu.Lock()
			l.fault("controller %d ended by itself: %s", i, b)
			l.mu.Unlock()
			n.cmd = nil
		}
	}
}

// waitReady waits until all controllers are ready.
func (l *lab) waitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		ready := 0
		for i := range l.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if status, _ := call(ctx, l.users, http.MethodGet, "http://"+l.api[i]+"/ready", nil); status == 200 {
				ready++
			}
			cancel()
		}
		if ready == len(l.nodes) && l.state.holder("m/leader") != "" {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (l *lab) leader() int {
	m := l.state.holder("m/leader")
	for i := range l.nodes {
		if memberName(i) == m {
			return i
		}
	}
	return -1
}

// Observations of the machines.

func (l *lab) job(id string) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id]
}

func (l *lab) wasDone(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, _, _ := strings.Cut(name, "/")
	return l.jobs[id] != nil && l.jobs[id].done[name]
}

func (l *lab) limit(name string) float64 {
	for _, t := range l.cfg.teams {
		if t.name == name {
			return t.most
		}
	}
	return 0
}

func (l *lab) taskOn(t *task, w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.record("%s: %s try %d starts", w.name, t.name, t.attempt)
	for _, o := range l.where[t.name] {
		l.fault("ran_twice: %s starts on %s while it is on %s", t.name, w.name, o.name)
	}
	l.checkPlace(t, w)
	l.where[t.name] = append(l.where[t.name], w)
	l.inUse[t.job.team] += t.job.cpus
	if most := l.limit(t.job.team); most > 0 && l.inUse[t.job.team] > most+1e-6 {
		l.fault("quota: %s uses %.1f of %.1f CPUs as %s starts on %s", t.job.team, l.inUse[t.job.team], most, t.name, w.name)
	}
	t.job.starts++
	if t.job.firstStart.IsZero() {
		t.job.firstStart = now
	}
	if !t.job.calledOff.IsZero() {
		if now.Sub(t.job.calledOff) > l.cfg.cancel {
			l.fault("ran_cancelled: %s starts on %s %.1f s after its user was told", t.name, w.name, now.Sub(t.job.calledOff).Seconds())
		} else {
			l.record("NOTE: %s starts %.1f s after its user was told that the job is cancelled", t.name, now.Sub(t.job.calledOff).Seconds())
		}
	}
}

// checkPlace checks zone and kind of machine, given the job's other tasks; mu is held.
func (l *lab) checkPlace(t *task, w *worker) {
	j, inZone := t.job, 1
	if (j.hall != "" && j.hall != w.zone) || (j.ordinary && w.spot) {
		l.fault("wrong_place: %s starts on %s in %s", t.name, w.name, w.zone)
	}
	for n := range j.tasks {
		name := fmt.Sprintf("%s/%d", j.id, n)
		if name == t.name || len(l.where[name]) == 0 {
			continue
		}
		if l.where[name][0].zone == w.zone {
			inZone++
		} else if j.together {
			l.fault("wrong_place: %s starts in %s while %s is in %s", t.name, w.zone, name, l.where[name][0].zone)
		}
	}
	if j.apart && inZone > (j.tasks+1)/2 {
		l.fault("wrong_place: %s is number %d of %d in %s", t.name, inZone, j.tasks, w.zone)
	}
}

func (l *lab) taskOff(t *task, w *worker, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record("%s: %s try %d is off: %s", w.name, t.name, t.attempt, why)
	list := l.where[t.name]
	for i, o := range list {
		if o == w {
			l.where[t.name] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(l.where[t.name]) == 0 {
		delete(l.where, t.name)
	}
	l.inUse[t.job.team] -= t.job.cpus
	if !t.job.calledOff.IsZero() && time.Since(t.job.calledOff) > l.cfg.cancel+200*time.Millisecond {
		l.fault("ran_cancelled: %s was on %s until %.1f s after its user was told", t.name, w.name, time.Since(t.job.calledOff).Seconds())
	}
}

func (l *lab) taskDone(t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.job.done[t.name] = true
}

func (l *lab) saveReport(w *worker, body []byte) {
	if l.onSave != nil {
		l.onSave(w, body)
	}
}

// Users.

// addJob makes a job known to the machines, as its user uploads the description.
func (l *lab) addJob(j *job) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.done = map[string]bool{}
	if j.gb == 0 {
		j.gb = 1
	}
	if j.urgency == "" {
		j.urgency = "standard"
	}
	l.jobs[j.id] = j
	l.order = append(l.order, j)
	return j
}

func (l *lab) submission(j *job) []byte {
	form, expected := "batch", j.run.Seconds()
	if j.service {
		form, expected = "service", 0.0
	}
	var hall any
	if j.hall != "" {
		hall = j.hall
	}
	return l.codec.Encode(map[string]any{"nameId": j.id, "desk": "page-render", "crew": j.team, "form": form, "urgency": j.urgency, "pages": j.tasks,
		"vcpus": j.cpus, "cards": 0.0, "ramGb": j.gb, "plate": "img-07", "imageGb": 0.5, "breeds": nil, "hall": hall, "together": j.together, "apart": j.apart,
		"loaners": !j.ordinary, "expectedS": expected, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil})
}

// tries is how a user repeats a request: to the node, and then to the others as the load
// balancer chooses, for up to 60 s.
func (l *lab) submit(j *job, at int) bool {
	end := time.Now().Add(60 * time.Second)
	for n := at; time.Now().Before(end); n++ {
		i := n % len(l.nodes)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, body := post(ctx, l.users, "http://"+l.api[i]+"/submissions", l.submission(j))
		cancel()
		l.mu.Lock()
		l.record("user: submits %s to controller %d: %d %s", j.id, i, status, l.statusOf(body))
		if status == 200 || status == 201 {
			if j.acceptedAt.IsZero() {
				j.acceptedAt = time.Now()
			}
			l.mu.Unlock()
			return true
		}
		if (status == 400 || status == 422) && !j.acceptedAt.IsZero() {
			l.fault("forgotten: %s was accepted, and its repeated submission gets %d", j.id, status)
		}
		l.mu.Unlock()
		time.Sleep(time.Second)
	}
	return false
}

func (l *lab) statusOf(body []byte) string {
	var s protocol.JobStatus
	if l.codec.Decode(body, &s) != nil {
		return ""
	}
	return s.Status
}

// poll asks one controller for a job and checks the answer against what was told before.
func (l *lab) poll(j *job, i int) (int, string) {
	l.mu.Lock()
	accepted, off, done := j.acceptedAt, j.calledOff, j.calledDone
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, body := call(ctx, l.users, http.MethodGet, "http://"+l.api[i]+"/submissions/"+j.id, nil)
	text := l.statusOf(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == 404 && !accepted.IsZero() {
		l.fault("forgotten: %s is accepted and gets 404 from controller %d", j.id, i)
	}
	if status != 200 {
		return status, text
	}
	j.lastAnswer = time.Now()
	if !off.IsZero() && text != "withdrawn" {
		l.fault("went_back: %s was called cancelled and is called %q by controller %d", j.id, text, i)
	}
	if !done.IsZero() && text != "done" {
		l.fault("went_back: %s was called done and is called %q by controller %d", j.id, text, i)
	}
	switch text {
	case "done":
		if len(j.done) < j.tasks {
			l.fault("not_done: %s is called done with %d of %d tasks", j.id, len(j.done), j.tasks)
		}
		if j.calledDone.IsZero() {
			l.record("user: controller %d calls %s done", i, j.id)
			j.calledDone = time.Now()
		}
	case "withdrawn":
		if j.askedOff.IsZero() {
			l.fault("went_back: %s is called cancelled, and its user did not cancel it", j.id)
		}
		if j.calledOff.IsZero() {
			l.record("user: controller %d calls %s withdrawn", i, j.id)
			j.calledOff = time.Now()
		}
	}
	return status, text
}

// abort cancels a job, and repeats the request for up to 60 s.
func (l *lab) abort(j *job, at int) bool {
	l.mu.Lock()
	j.askedOff = time.Now()
	l.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for n := at; time.Now().Before(end); n++ {
		i := n % len(l.nodes)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, body := post(ctx, l.users, "http://"+l.api[i]+"/submissions/"+j.id+"/abort", nil)
		cancel()
		text := l.statusOf(body)
		l.mu.Lock()
		l.record("user: cancels %s at controller %d: %d %s", j.id, i, status, text)
		if status == 200 {
			if text == "withdrawn" && j.calledOff.IsZero() {
				j.calledOff = time.Now()
				if !j.calledDone.IsZero() {
					l.fault("went_back: %s was called done and is cancelled", j.id)
				}
			}
			if text == "done" && j.calledDone.IsZero() {
				j.calledDone = time.Now()
				if len(j.done) < j.tasks {
					l.fault("not_done: %s is called done with %d of %d tasks", j.id, len(j.done), j.tasks)
				}
			}
			l.mu.Unlock()
			return true
		}
		l.mu.Unlock()
		time.Sleep(time.Second)
	}
	return false
}

// finish prints the result and returns the exit status.
func (l *lab) finish() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		fmt.Println("broken:", f)
	}
	if len(l.faults) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}
