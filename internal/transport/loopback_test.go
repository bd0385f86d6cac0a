package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const testTimeout = 20 * time.Second // for events that take milliseconds, on a busy machine

// closeOrFail closes c and fails the test if that fails.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// freeAddr returns an address of the loopback interface on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, l)
	return l.Addr().String()
}

// runLoop runs a loop with the services until the test ends, and returns when it is ready.
func runLoop(t *testing.T, l *Loop, services ...service) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- l.Run(services...) }()
	t.Cleanup(func() {
		if err := errors.Join(l.Stop(testTimeout), <-done); err != nil {
			t.Error(err)
		}
	})
	<-l.ready
}

// startServer starts a server with the handler h, and returns its loop and address.
func startServer(t *testing.T, h Handler, maxHeld int64) (*Loop, string) {
	t.Helper()
	addr, l := freeAddr(t), NewLoop(0)
	runLoop(t, l, NewServer(ServerConfig{Addr: addr, MaxConns: 10, MaxPendingRequestBytes: maxHeld, IdleTimeout: time.Minute, ReadTimeout: time.Minute}, l, h))
	return l, addr
}

func TestEveryRequestGetsItsResponse(t *testing.T) {
	l, addr := startServer(t, func(req *Request, reply func(Response)) {
		go reply(Response{Status: 200, Body: append([]byte(req.Method+" "+req.Path+" "), req.Body...)})
	}, 1<<20)
	c := NewHTTPClient(l, addr, 2, 100)
	results := make(chan HTTPResult, 20)
	for range 20 {
		c.Do("POST", "/x?y=1", []byte(strings.Repeat("b", 50_000)), testTimeout, func(r HTTPResult) { results <- r })
	}
	for range 20 {
		r := <-results
		if r.Err != nil || r.Status != 200 || !strings.HasPrefix(string(r.Body), "POST /x?y=1 bbb") || len(r.Body) != 50_012 {
			t.Fatalf("got status %d, %d bytes, error %v; want 200, the 50012 bytes of this request", r.Status, len(r.Body), r.Err)
		}
	}
}

func TestClientDistinguishesNotSentFromNoAnswer(t *testing.T) {
	d, addr := startServer(t, func(*Request, func(Response)) {}, 1<<20)
	got := make(chan HTTPResult, 1)
	NewHTTPClient(d, freeAddr(t), 2, 10).Do("GET", "/", nil, testTimeout, func(r HTTPResult) { got <- r })
	if r := <-got; !errors.Is(r.Err, ErrNotSent) {
		t.Fatalf("nothing listens on the address: got %v, want ErrNotSent", r.Err)
	}
	NewHTTPClient(d, addr, 2, 10).Do("GET", "/", nil, 50*time.Millisecond, func(r HTTPResult) { got <- r })
	if r := <-got; !errors.Is(r.Err, ErrNoAnswer) {
		t.Fatalf("the server does not answer: got %v, want ErrNoAnswer", r.Err)
	}
}

// A request for which the queue has no room fails with ErrNotSent.
func TestRequestBeyondFullQueueIsNotSent(t *testing.T) {
	l, addr := startServer(t, func(_ *Request, reply func(Response)) { reply(Response{Status: 200}) }, 1<<20)
	got := make(chan HTTPResult, 1)
	NewHTTPClient(l, addr, 1, 0).Do("GET", "/", nil, testTimeout, func(r HTTPResult) { got <- r })
	if r := <-got; !errors.Is(r.Err, ErrNotSent) || errors.Is(r.Err, ErrNoAnswer) {
		t.Fatalf("got status %d, error %v, want %v", r.Status, r.Err, ErrNotSent)
	}
}

func TestServerRejectsMalformedTooLargeAndExcessRequests(t *testing.T) {
	replies := make(chan func(Response), 1)
	_, addr := startServer(t, func(_ *Request, reply func(Response)) { replies <- reply }, requestOverheadBytes)
	sendRaw := func(text string) string {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeOrFail(t, c)
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 200)
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%.20q: %v", text, err)
		}
		line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
		return line
	}
	if got := sendRaw("nonsense\r\n\r\n"); got != "HTTP/1.1 400 Bad Request" {
		t.Fatal(got)
	}
	if got := sendRaw("POST / HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n" + strings.Repeat("x", 3_000_000)); got != "HTTP/1.1 400 Bad Request" {
		t.Fatal(got)
	}
	if got := sendRaw("POST / HTTP/1.1\r\nContent-Length: 70000\r\nExpect: 100-continue\r\n\r\n"); got != "HTTP/1.1 400 Bad Request" {
		t.Fatal(got)
	}
	first := make(chan string, 1)
	go func() { first <- sendRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n") }()
	reply := <-replies
	if got := sendRaw("GET / HTTP/1.1\r\n\r\n"); got != "HTTP/1.1 503 Service Unavailable" {
		t.Fatal(got)
	}
	reply(Response{Status: 200})
	if got := <-first; got != "HTTP/1.1 200 OK" {
		t.Fatal(got)
	}
}

// The server closes the connection of a request that is not complete within ReadTimeout.
func TestServerClosesSlowRequests(t *testing.T) {
	addr := freeAddr(t)
	l := NewLoop(0)
	runLoop(t, l, NewServer(ServerConfig{Addr: addr, MaxConns: 10, MaxPendingRequestBytes: 1 << 20, IdleTimeout: time.Hour, ReadTimeout: 30 * time.Millisecond}, l, nil))
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, c)
	if _, err := c.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, error %v, want a closed connection", n, err)
	}
}

// After a pause of the process, a response must not be sent after its ValidUntil, since
// other controllers may have acted in the meantime, nor a request after its deadline.
func TestExpiredResponsesAndRequestsAreNotSent(t *testing.T) {
	until := make(chan time.Time, 3)
	l, addr := startServer(t, func(_ *Request, reply func(Response)) { reply(Response{Status: 200, ValidUntil: <-until}) }, 1<<20)
	c := NewHTTPClient(l, addr, 1, 10)
	got := make(chan HTTPResult, 1)
	for _, test := range []struct {
		until time.Time
		want  int
	}{{time.Time{}, 200}, {time.Now().Add(time.Hour), 200}, {time.Now().Add(-time.Millisecond), 503}} {
		until <- test.until
		c.Do("GET", "/", nil, testTimeout, func(r HTTPResult) { got <- r })
		if r := <-got; r.Status != test.want || r.Err != nil {
			t.Fatalf("valid until %v: got status %d, error %v, want no error and status 503 only after that time", test.until, r.Status, r.Err)
		}
	}
	late := &pendingCall{method: "GET", path: "/", deadline: time.Now().Add(-time.Millisecond), timer: time.NewTimer(time.Hour), onResult: func(r HTTPResult) { got <- r }}
	c.mu.Lock()
	c.queue = append(c.queue, late)
	c.dispatch()
	c.mu.Unlock()
	if r := <-got; !errors.Is(r.Err, ErrNotSent) {
		t.Fatalf("a request after its deadline: got status %d, error %v, want ErrNotSent", r.Status, r.Err)
	}
}

type meshRecorder struct {
	up     chan *MeshLink
	frames chan *meshpb.Frame
	down   chan *MeshLink
}

func newMeshRecorder() *meshRecorder {
	return &meshRecorder{up: make(chan *MeshLink, 8), frames: make(chan *meshpb.Frame, 1000), down: make(chan *MeshLink, 8)}
}

func (m *meshRecorder) MeshUp(l *MeshLink, _ string) { m.up <- l }
func (m *meshRecorder) MeshDown(l *MeshLink)         { m.down <- l }
func (m *meshRecorder) MeshFrames(_ *MeshLink, frames []*meshpb.Frame) {
	for _, f := range frames {
		m.frames <- f
	}
}

func TestMeshKeepsOrderAndReconnects(t *testing.T) {
	addrA, addrB := freeAddr(t), freeAddr(t)
	start := func(self, addr, other, otherAddr string) *meshRecorder {
		log := newMeshRecorder()
		l := NewLoop(0)
		m := NewMesh(MeshConfig{Self: self, Addr: addr, IdleTimeout: time.Minute, MaxBacklogBytes: 4 << 20,
			Peers: []MeshPeer{{Member: other, Addr: otherAddr}}}, l, log)
		done := make(chan error, 1)
		go func() { done <- l.Run(m) }()
		ctx, cancel := context.WithCancel(context.Background())
		m.Start(ctx)
		t.Cleanup(func() {
			cancel()
			if err := errors.Join(l.Stop(testTimeout), <-done); err != nil {
				t.Error(err)
			}
		})
		return log
	}
	a, b := start("a", addrA, "b", addrB), start("b", addrB, "a", addrA)
	la, lb := <-a.up, <-b.up
	for i := range 500 {
		la.Send(&meshpb.Frame{Body: &meshpb.Frame_JobQuery{JobQuery: &meshpb.JobQuery{Id: uint64(i), Job: strings.Repeat("j", i)}}})
		if i%7 == 0 {
			la.Flush()
		}
	}
	la.Flush()
	for i := range 500 {
		if f := <-b.frames; f.GetJobQuery().GetId() != uint64(i) {
			t.Fatalf("got frame %d, want %d", f.GetJobQuery().GetId(), i)
		}
	}
	lb.Close()
	if <-a.down != la || <-b.down != lb {
		t.Fatal("a link other than the closed one went down")
	}
	la2, lb2 := <-a.up, <-b.up
	lb2.Send(&meshpb.Frame{Body: &meshpb.Frame_MachineTerminated{MachineTerminated: &meshpb.MachineTerminated{Name: "m"}}})
	lb2.Flush()
	if f := <-a.frames; f.GetMachineTerminated().GetName() != "m" || la2 == la {
		t.Fatal("the new link does not carry frames")
	}
}

// Connections that are opened at the same time, each with a request, are accepted without
// waiting for a batch interval each, although the loop sleeps whenever a batch was handled.
func TestSimultaneousConnectionsAreAcceptedPromptly(t *testing.T) {
	const clients, within = 800, 8 * time.Second // with one accepted per batch interval it took 17 s
	addr, l := freeAddr(t), NewLoop(70*time.Millisecond)
	runLoop(t, l, NewServer(ServerConfig{Addr: addr, MaxConns: 2 * clients, MaxPendingRequestBytes: 1 << 20, IdleTimeout: time.Minute, ReadTimeout: time.Minute}, l,
		func(_ *Request, reply func(Response)) {
			go func() {
				reply(Response{Status: 200})
				l.NotifyBatchHandled()
			}()
		}))
	began := time.Now()
	answered := make(chan error, clients)
	for range clients {
		go func() { answered <- sendRequest(addr) }()
	}
	for range clients {
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > within {
		t.Errorf("%d connections were served in %s, which is too long", clients, took)
	}
}

// sendRequest opens a connection, sends one request and waits for the response.
func sendRequest(addr string) (err error) {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 64))
	return err
}
