package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout  = 1500 * time.Millisecond
	tickInterval = 500 * time.Millisecond
	batchWindow  = time.Millisecond // how soon after one another what one wake-up brought is taken
)

// connection is what the loop drives: an HTTP connection of either side, or
// one of the mesh.
type connection interface {
	onTraffic(c gnet.Conn) gnet.Action
	onClose(c gnet.Conn)
}

// service takes the connections that come in on an address.
type service interface {
	address() string
	// accept returns the connection's handler, or nil to refuse it.
	accept(c gnet.Conn) connection
	// tick is called twice a second or so.
	tick(now time.Time)
}

// Loop is the one event loop of a process. It drives all connections, so that
// what arrives at about the same time is taken by one waking up: on a machine
// with a small share of a core that is what costs, not the requests. For the
// same reason it takes what has arrived at most once in every span of its pace;
// while little arrives nothing waits.
type Loop struct {
	gnet.BuiltinEventEngine
	interval    time.Duration
	services    []service
	engine      gnet.Engine
	ready       chan struct{}
	startOnce   sync.Once
	registerMu  sync.Mutex
	lastTurn    time.Time // when it last began to take what had arrived
	lastTraffic time.Time // when it last took something
	lastAccept  time.Time // when a connection last came in
	busy        bool      // it had little rest before that
	eventLoop   gnet.EventLoop
}

// NewLoop prepares a loop that takes what arrives once in a span at the most.
func NewLoop(pace time.Duration) *Loop { return &Loop{interval: pace, ready: make(chan struct{})} }

// Run serves the services until Stop.
func (l *Loop) Run(services ...service) error {
	l.services = services
	var addrs []string
	for _, s := range services {
		if err := l.checkVacant(s.address()); err != nil {
			return err
		}
		addrs = append(addrs, "tcp://"+s.address())
	}
	// With reused ports a single loop accepts connections and drives them.
	err := gnet.Rotate(l, addrs, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(32<<10), gnet.WithLogger(discardLogger{}))
	if err != nil {
		return fmt.Errorf("serving %v: %w", addrs, err)
	}
	return nil
}

// checkVacant tells whether nobody serves an address yet: a reused port would be
// shared with another process without a word.
func (l *Loop) checkVacant(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("serving %s: %w", addr, err)
	}
	if err := ln.Close(); err != nil {
		return fmt.Errorf("serving %s: %w", addr, err)
	}
	return nil
}

// Stop ends the loop and its connections.
func (l *Loop) Stop(timeout time.Duration) error {
	<-l.ready
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := l.engine.Stop(ctx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}

// dial connects and hands the connection to the loop. The standard library's
// dialer is used because gnet's own cannot be given up in time.
func (l *Loop) dial(addr string, t connection) (gnet.Conn, error) {
	<-l.ready
	nc, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dialling: %w", err)
	}
	l.registerMu.Lock()
	got, err := l.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), t), nc))
	l.registerMu.Unlock()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("enrolling connection: %w", err), nc.Close())
	}
	r := <-got
	if r.Err != nil {
		return nil, fmt.Errorf("enrolling connection: %w", r.Err)
	}
	if err := r.Conn.SetNoDelay(true); err != nil {
		return nil, errors.Join(fmt.Errorf("enrolling connection: %w", err), r.Conn.Close())
	}
	return r.Conn, nil
}

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.registerMu.Lock()
	l.eventLoop = c.EventLoop()
	l.registerMu.Unlock()
	if _, dialled := c.Context().(connection); dialled {
		return nil, gnet.None
	}
	for _, s := range l.services {
		if !listensOn(s.address(), c.LocalAddr()) {
			continue
		}
		if t := s.accept(c); t != nil {
			l.lastAccept = time.Now()
			c.SetContext(t)
			return nil, gnet.None
		}
		break
	}
	return nil, gnet.Close
}

// listensOn tells whether a connection to an address came in on a listener.
func listensOn(listener string, to net.Addr) bool {
	ln, err := net.ResolveTCPAddr("tcp4", listener)
	a, ok := to.(*net.TCPAddr)
	return err == nil && ok && ln.Port == a.Port && (ln.IP == nil || ln.IP.IsUnspecified() || ln.IP.Equal(a.IP))
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	t, ok := c.Context().(connection)
	if !ok {
		return gnet.Close
	}
	l.coalesce()
	action := t.onTraffic(c)
	l.lastTraffic = time.Now()
	return action
}

// coalesce lets more arrive before the loop takes what has. While connections come in
// it does not: gnet accepts one at each waking up, so that thousands of workers that
// came back at once were let in at fourteen a second.
func (l *Loop) coalesce() {
	now := time.Now()
	if now.Sub(l.lastTraffic) < batchWindow || now.Sub(l.lastAccept) < batchWindow {
		return
	}
	l.busy = now.Sub(l.lastTurn) < 2*l.interval
	l.lastTurn = l.sleepUntilTurn(now)
}

// sleepUntilTurn sleeps until the next turn and returns when it is. The thread itself
// sleeps, which costs one waking up; a sleeping goroutine would cost the
// runtime's threads several. That a signal may end it early does no harm.
func (l *Loop) sleepUntilTurn(now time.Time) time.Time {
	left := l.interval - now.Sub(l.lastTurn)
	if left <= 0 {
		return now
	}
	ts := unix.NsecToTimespec(left.Nanoseconds())
	_ = unix.Nanosleep(&ts, nil)
	return time.Now()
}

// WaitTurn is called when all that the loop took has been dealt with. Under load
// it sleeps until its next turn, instead of being woken up only to do so.
func (l *Loop) WaitTurn() { l.execute(l.waitTurn) }

func (l *Loop) waitTurn() {
	if l.busy && !l.lastAccept.After(l.lastTurn) {
		l.sleepUntilTurn(time.Now())
	}
}

// execute has the loop call fn, once it has a connection.
func (l *Loop) execute(fn func()) {
	l.registerMu.Lock()
	eventLoop := l.eventLoop
	l.registerMu.Unlock()
	if eventLoop != nil {
		// An error means that the loop has ended.
		_ = eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			fn()
			return nil
		}))
	}
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	if t, ok := c.Context().(connection); ok {
		t.onClose(c)
	}
	return gnet.None
}

// OnTick implements gnet.EventHandler. Before the first tick there may be no
// loop yet that could take a connection.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	l.startOnce.Do(func() { close(l.ready) })
	now := time.Now()
	for _, s := range l.services {
		s.tick(now)
	}
	return tickInterval, gnet.None
}
