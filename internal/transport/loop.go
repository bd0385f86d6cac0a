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
	// sameBatchWindow is how soon after one another the parts of what one wake-up brought are
	// taken.
	sameBatchWindow = time.Millisecond
	readBufferBytes = 32 << 10
)

// connection is what the loop drives: an HTTP connection of either side, or one of the
// mesh. The loop's goroutine makes all calls.
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

// Loop is the one event loop of a process. It drives all connections, so that what
// arrives at about the same time is taken by one wake-up: on a machine with a small share
// of a core that is what costs, not the requests. For the same reason it takes what has
// arrived at most once in every interval; while little arrives nothing waits.
type Loop struct {
	gnet.BuiltinEventEngine
	batchInterval time.Duration
	services      []service
	engine        gnet.Engine
	ready         chan struct{} // closed once connections can be registered
	readyOnce     sync.Once

	registerMu sync.Mutex // of eventLoop, and of registering a connection
	eventLoop  gnet.EventLoop

	// Known to the loop's goroutine alone.
	lastBatchStart time.Time // when it last began to take what had arrived
	lastTraffic    time.Time // when it last took something
	lastAccept     time.Time // when a connection last came in
	underLoad      bool      // it had little rest before the last turn
}

// NewLoop prepares a loop that takes what arrives at most once in an interval.
func NewLoop(interval time.Duration) *Loop {
	return &Loop{batchInterval: interval, ready: make(chan struct{})}
}

// Run serves the services until Stop, and returns after all connections have closed. It
// returns at once, with an error, if an address can't be served.
func (l *Loop) Run(services ...service) error {
	l.services = services
	var addrs []string
	for _, s := range services {
		if err := l.checkAddressFree(s.address()); err != nil {
			return err
		}
		addrs = append(addrs, "tcp://"+s.address())
	}
	// With reused ports a single loop accepts connections and drives them.
	err := gnet.Rotate(l, addrs, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(readBufferBytes), gnet.WithLogger(discardLogger{}))
	if err != nil {
		return fmt.Errorf("serving %v: %w", addrs, err)
	}
	return nil
}

// checkAddressFree tells whether nobody serves an address yet: a reused port would be
// shared with another process without a word.
func (l *Loop) checkAddressFree(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("serving %s: %w", addr, err)
	}
	if err := ln.Close(); err != nil {
		return fmt.Errorf("serving %s: %w", addr, err)
	}
	return nil
}

// Stop ends the loop and its connections, and waits for that as long as timeout, from the
// moment that the loop is ready. It must not be called if Run has failed.
func (l *Loop) Stop(timeout time.Duration) error {
	<-l.ready
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := l.engine.Stop(ctx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}

// dial opens a connection and hands it to the loop, which then owns it. The standard
// library's dialer is used because gnet's own can't be given up in time.
func (l *Loop) dial(addr string, driven connection) (gnet.Conn, error) {
	<-l.ready
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dialing: %w", err)
	}
	l.registerMu.Lock()
	registered, err := l.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), driven), conn))
	l.registerMu.Unlock()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("registering connection to %s: %w", addr, err), conn.Close())
	}
	result := <-registered
	if result.Err != nil {
		return nil, fmt.Errorf("registering connection to %s: %w", addr, result.Err)
	}
	if err := result.Conn.SetNoDelay(true); err != nil {
		return nil, errors.Join(fmt.Errorf("registering connection to %s: %w", addr, err), result.Conn.Close())
	}
	return result.Conn, nil
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
	if _, dialed := c.Context().(connection); dialed {
		return nil, gnet.None
	}
	for _, s := range l.services {
		if !listensOn(s.address(), c.LocalAddr()) {
			continue
		}
		if accepted := s.accept(c); accepted != nil {
			l.lastAccept = time.Now()
			c.SetContext(accepted)
			return nil, gnet.None
		}
		break
	}
	return nil, gnet.Close
}

// listensOn tells whether a connection to an address came in on a listener.
func listensOn(listener string, to net.Addr) bool {
	own, err := net.ResolveTCPAddr("tcp4", listener)
	addr, ok := to.(*net.TCPAddr)
	return err == nil && ok && own.Port == addr.Port && (own.IP == nil || own.IP.IsUnspecified() || own.IP.Equal(addr.IP))
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	driven, ok := c.Context().(connection)
	if !ok {
		return gnet.Close
	}
	l.coalesce()
	action := driven.onTraffic(c)
	l.lastTraffic = time.Now()
	return action
}

// coalesce lets more arrive before the loop takes what has. While connections come in it
// does not: gnet accepts one at each wake-up, so that thousands of workers that came back
// at once were let in at fourteen a second.
func (l *Loop) coalesce() {
	now := time.Now()
	if now.Sub(l.lastTraffic) < sameBatchWindow || now.Sub(l.lastAccept) < sameBatchWindow {
		return
	}
	l.underLoad = now.Sub(l.lastBatchStart) < 2*l.batchInterval
	l.lastBatchStart = l.sleepUntilNextBatch(now)
}

// sleepUntilNextBatch sleeps until the next turn and returns when it is. The thread itself
// sleeps, which costs one wake-up; a sleeping goroutine would cost the runtime's threads
// several. That a signal may end it early does no harm.
func (l *Loop) sleepUntilNextBatch(now time.Time) time.Time {
	left := l.batchInterval - now.Sub(l.lastBatchStart)
	if left <= 0 {
		return now
	}
	spec := unix.NsecToTimespec(left.Nanoseconds())
	_ = unix.Nanosleep(&spec, nil)
	return time.Now()
}

// NotifyBatchHandled is called when all that the loop took has been dealt with. Under load the loop
// then sleeps until its next turn, instead of being woken up only to do so. It returns at
// once.
func (l *Loop) NotifyBatchHandled() { l.execute(l.sleepIfUnderLoad) }

// sleepIfUnderLoad runs on the loop's goroutine. It does not sleep while connections come in.
func (l *Loop) sleepIfUnderLoad() {
	if l.underLoad && !l.lastAccept.After(l.lastBatchStart) {
		l.sleepUntilNextBatch(time.Now())
	}
}

// execute has the loop's goroutine call fn, once it has a connection.
func (l *Loop) execute(fn func()) {
	l.registerMu.Lock()
	eventLoop := l.eventLoop
	l.registerMu.Unlock()
	if eventLoop == nil {
		return
	}
	// An error means that the loop has ended.
	_ = eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		fn()
		return nil
	}))
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	if driven, ok := c.Context().(connection); ok {
		driven.onClose(c)
	}
	return gnet.None
}

// OnTick implements gnet.EventHandler. Before the first tick there may be no
// loop yet that could take a connection.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	l.readyOnce.Do(func() { close(l.ready) })
	now := time.Now()
	for _, s := range l.services {
		s.tick(now)
	}
	return tickInterval, gnet.None
}
