//go:build review

// Command review2-lab plays the cases of the second review: it starts three controllers with
// the run command of the deploy file, on loopback, against stand-ins of the state service
// (package standin), the cloud, the workers and the users, and checks the rule of the case.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/standin"
)

// machineType is one type of the cloud's catalog.
type machineType struct {
	name                 string
	cpus, memGB, cacheGB float64
	fetchGBPerS          float64
	price, spotPrice     float64
	readyS               float64
	zones                []string
}

// team is a team of the settings.
type team struct {
	name       string
	cpus, most float64
}

// site has the settings of a deployment.
type site struct {
	nodeZone        string
	zones           []string
	types           []machineType
	teams           []team
	objectives      string // TOML
	reportS, leaseS float64
	cancelS         float64
	rps, writeRPS   float64
	valueKB         float64
	txnOps          int
	cloudRPS, lagS  float64
	memMB           float64
	sockets         int
	clockOffMs      float64
	bootS           func(kind string) float64
}

// job is what a user submits.
type job struct {
	id, class, team, urgency string
	tasks                    int
	cpus, memGB              float64
	image                    string
	imageGB                  float64
	hall                     any // string or nil
	together, apart, loaners bool
	expectedS                float64
	pressByS                 any // float64 or nil
	runS                     float64

	submitted, accepted time.Time
	status              string // as last told to the user
	final               time.Time
}

// world is one run of a case.
type world struct {
	site    site
	trouble bool
	codec   *protocol.Codec
	start   time.Time
	dir     string
	record  *os.File
	state   *standin.State
	servers []*http.Server
	client  *http.Client

	stateAddr, cloudAddr string
	members              []string
	api, mesh            map[string]string
	controllers          map[string]*exec.Cmd

	mu         sync.Mutex
	jobs       map[string]*job
	jobOrder   []string
	machines   []*machine
	nextVM     int
	hires      map[string][]string
	capacity   map[string]int                    // by type/zone/kind; missing: unlimited
	stateDelay func(*http.Request) time.Duration // nil: none
	stopped    chan struct{}
	broken     string // the first violation
}

func (w *world) since() float64 { return time.Since(w.start).Seconds() }

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.2f  %s\n", w.since(), fmt.Sprintf(format, args...))
}

func freeAddr() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newWorld(s site, record string, trouble bool) (*world, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	w := &world{site: s, trouble: trouble, codec: codec, start: time.Now(), members: []string{"roost-0", "roost-1", "roost-2"},
		api: map[string]string{}, mesh: map[string]string{}, controllers: map[string]*exec.Cmd{}, jobs: map[string]*job{},
		hires: map[string][]string{}, capacity: map[string]int{}, stopped: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	w.state = standin.NewState(codec)
	if w.stateAddr, err = w.serve(http.HandlerFunc(w.serveState)); err != nil {
		return nil, err
	}
	if w.cloudAddr, err = w.serve(http.HandlerFunc(w.serveCloud)); err != nil {
		return nil, err
	}
	for _, m := range w.members {
		w.api[m], w.mesh[m] = freeAddr(), freeAddr()
	}
	return w, nil
}

func (w *world) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// serveState serves the state service; stateDelay says how late an answer is.
func (w *world) serveState(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	delay := time.Duration(0)
	if w.stateDelay != nil {
		delay = w.stateDelay(r)
	}
	w.mu.Unlock()
	if delay > 300*time.Millisecond {
		w.logf("state: the answer to %s %s is %v late", r.Method, r.URL, delay)
	}
	time.Sleep(delay)
	w.state.ServeHTTP(rw, r)
}

// settings returns the text of a member's settings file.
func (w *world) settings(member string) string {
	s := &w.site
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nsite = %q\napi_addr = %q\nmesh_addr = %q\n", member, s.nodeZone, w.api[member], w.mesh[member])
	for _, m := range w.members {
		if m != member {
			fmt.Fprintf(&b, "[[known]]\nmember = %q\nsite = %q\naddress = %q\n", m, s.nodeZone, w.mesh[m])
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[settings]\ninitial_size = 3\nclock_off_ms = %v\nzones = [", w.cloudAddr, w.stateAddr, s.clockOffMs)
	for i, z := range s.zones {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", z)
	}
	b.WriteString("]\n")
	for _, t := range s.teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.most)
	}
	b.WriteString(s.objectives)
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %v\nlease_s = %v\ncancel_s = %v\n", s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[settings.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = %d\n", s.rps, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[settings.cloud]\nrps = %v\nlist_lag_s = %v\n[settings.limits]\ncores = 0.144\nmem_mb = %v\nsockets = %d\n", s.cloudRPS, s.lagS, s.memMB, s.sockets)
	return b.String()
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startController starts a member's process with the run command of the deploy file.
func (w *world) startController(member string) error {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return fmt.Errorf("deploy/service.toml has no run command")
	}
	words := strings.Fields(string(found[1]))
	path := filepath.Join(w.dir, member+".toml")
	if err := os.WriteFile(path, []byte(w.settings(member)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], append(words[1:], path)...)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.controllers[member] = cmd
	w.logf("controller %s started", member)
	return nil
}

// killController kills a member's process and waits for its end.
func (w *world) killController(member string) {
	if cmd := w.controllers[member]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(w.controllers, member)
		w.logf("controller %s killed", member)
	}
}

// startControllers starts all controllers and waits until they are ready.
func (w *world) startControllers() error {
	for _, m := range w.members {
		if err := w.startController(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range w.members {
		for {
			if status, _ := w.call(context.Background(), http.MethodGet, "http://"+w.api[m]+"/ready", nil, time.Second); status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("controller %s is not ready", m)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("all controllers ready")
	return nil
}

// leader returns the member that the leader key names, as the state service has it.
func (w *world) leader() string {
	status, body := w.call(context.Background(), http.MethodGet, "http://"+w.stateAddr+"/kv/m/leader", nil, time.Second)
	var kv protocol.KeyValue
	var holder struct {
		Member string `cbor:"m"`
	}
	if status != 200 || w.codec.Decode(body, &kv) != nil || w.codec.Decode(kv.Value, &holder) != nil {
		return ""
	}
	return holder.Member
}

// close ends everything that the world has started.
func (w *world) close() {
	for _, m := range w.members {
		w.killController(m)
	}
	close(w.stopped)
	w.state.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.record.Close()
}

// call sends a request and returns the status, 0 without a response, and the body.
func (w *world) call(ctx context.Context, method, url string, body []byte, timeout time.Duration) (int, []byte) {
	return callWith(ctx, w.client, method, url, body, timeout)
}

func callWith(ctx context.Context, client *http.Client, method, url string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// submit submits a job as a user does, and then asks for its status every 5 s until it ends.
func (w *world) submit(j *job) {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.jobOrder = append(w.jobOrder, j.id)
	j.submitted = time.Now()
	w.mu.Unlock()
	body := w.codec.Encode(map[string]any{"nameId": j.id, "desk": j.class, "crew": j.team, "form": "batch", "urgency": j.urgency, "pages": j.tasks,
		"vcpus": j.cpus, "cards": 0.0, "ramGb": j.memGB, "plate": j.image, "imageGb": j.imageGB, "breeds": nil, "hall": j.hall,
		"together": j.together, "apart": j.apart, "loaners": j.loaners, "expectedS": j.expectedS, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": j.pressByS})
	for n := 0; n < 50; n++ {
		status, answer := w.call(context.Background(), http.MethodPost, "http://"+w.api[w.members[n%3]]+"/submissions", body, 5*time.Second)
		if status == 200 || status == 201 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			w.logf("%s (%s, %s, %d tasks of %v CPUs, image %s of %v GB, hall %v, loaners %v) accepted by %s: %d", j.id, j.class, j.team, j.tasks, j.cpus, j.image, j.imageGB, j.hall, j.loaners, w.members[n%3], status)
			go w.poll(j)
			return
		}
		w.logf("%s answered %d %q by %s", j.id, status, answer, w.members[n%3])
		if status == 400 || status == 422 {
			return
		}
		time.Sleep(time.Second)
	}
}

// cancel cancels a job as its user does.
func (w *world) cancel(j *job) bool {
	for n := 0; n < 50; n++ {
		status, body := w.call(context.Background(), http.MethodPost, "http://"+w.api[w.members[n%3]]+"/submissions/"+j.id+"/abort", nil, 5*time.Second)
		var answer protocol.JobStatus
		if status == 200 && w.codec.Decode(body, &answer) == nil {
			w.logf("%s abort at %s: %s", j.id, w.members[n%3], answer.Status)
			w.mu.Lock()
			j.status, j.final = answer.Status, time.Now()
			w.mu.Unlock()
			return answer.Status == "withdrawn"
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's status every 5 s, at one controller after the other.
func (w *world) poll(j *job) {
	for n := 0; ; n++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(5 * time.Second):
		}
		member := w.members[n%3]
		status, body := w.call(context.Background(), http.MethodGet, "http://"+w.api[member]+"/submissions/"+j.id, nil, 2*time.Second)
		var answer protocol.JobStatus
		if status != 200 || w.codec.Decode(body, &answer) != nil {
			w.logf("%s asked at %s: %d", j.id, member, status)
			continue
		}
		w.mu.Lock()
		changed := j.status != answer.Status
		j.status = answer.Status
		if answer.Status == "done" || answer.Status == "withdrawn" {
			j.final = time.Now()
		}
		w.mu.Unlock()
		if changed || n%6 == 5 {
			w.logf("%s asked at %s: %s, done %d, running %d", j.id, member, answer.Status, deref(answer.Done), deref(answer.Running))
		}
		if !j.final.IsZero() {
			return
		}
	}
}

func deref(p *int) int {
	if p == nil {
		return 0
	}
	return *p
}
