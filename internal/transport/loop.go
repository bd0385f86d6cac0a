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
	// sameBatchWindow is the time after a read, or after a connection was accepted, within
	// which the next read is assumed to belong to the same wake-up of the loop.
	sameBatchWindow = time.Millisecond
	readBufferBytes = 32 << 10
)

// connection handles the events of one network connection: of the HTTP server, of an HTTP
// client, or of the mesh. All calls come from the loop's goroutine.
type connection interface {
	onTraffic(c gnet.Conn) gnet.Action
	onClose(c gnet.Conn)
}

// service handles the connections that are accepted on an address.
type service interface {
	address() string
	// accept returns the handler of a connection, or nil to close it.
	accept(c gnet.Conn) connection
	// tick is called about twice a second (see tickInterval).
	tick(now time.Time)
}

// Loop is the single event loop of a process. It drives all connections, so that data that
// arrives at about the same time is read in one wake-up (a batch): for a process with a small
// share of a core the wake-ups are the main cost, not the requests. For the same reason it
// starts at most one batch per batchInterval. While little arrives, nothing is delayed.
type Loop struct {
	gnet.BuiltinEventEngine
	batchInterval time.Duration
	services      []service
	engine        gnet.Engine
	ready         chan struct{} // closed once connections can be registered
	readyOnce     sync.Once

	registerMu sync.Mutex // guards eventLoop, and serializes the registration of connections
	eventLoop  gnet.EventLoop

	// Accessed only by the loop's goroutine.
	lastBatchStart time.Time // start of the last batch
	lastTraffic    time.Time // end of the last read from a connection
	lastAccept     time.Time // time at which a connection was last accepted
	underLoad      bool      // the last batch began less than two batchIntervals after the one before
}

// NewLoop returns a loop that starts at most one batch of reads per interval.
func NewLoop(interval time.Duration) *Loop {
	return &Loop{batchInterval: interval, ready: make(chan struct{})}
}

// Run accepts connections for the services until Stop, and returns after all connections
// have closed. It returns an error immediately if it can't listen on an address.
func (l *Loop) Run(services ...service) error {
	l.services = services
	var addrs []string
	for _, s := range services {
		if err := l.checkAddressFree(s.address()); err != nil {
			return err
		}
		addrs = append(addrs, "tcp://"+s.address())
	}
	// With SO_REUSEPORT one event loop both accepts and drives the connections.
	err := gnet.Rotate(l, addrs, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(readBufferBytes), gnet.WithLogger(discardLogger{}))
	if err != nil {
		return fmt.Errorf("serving %v: %w", addrs, err)
	}
	return nil
}

// checkAddressFree returns an error if another process listens on an address: with
// SO_REUSEPORT the two would share the port without an error.
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

// Stop waits until the loop is ready, then stops it and closes its connections. It returns
// an error if that takes longer than timeout. It must not be called if Run has failed.
func (l *Loop) Stop(timeout time.Duration) error {
	<-l.ready
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := l.engine.Stop(ctx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}

// dial opens a connection and registers it with the loop, which then owns it and calls
// handler. The standard library's dialer is used because dialing with gnet's own can't be
// aborted in time.
func (l *Loop) dial(addr string, handler connection) (gnet.Conn, error) {
	<-l.ready
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dialing: %w", err)
	}
	l.registerMu.Lock()
	registered, err := l.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), handler), conn))
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

// listensOn reports whether a connection to a local address was accepted by the listener
// on the address listener (host:port).
func listensOn(listener string, to net.Addr) bool {
	own, err := net.ResolveTCPAddr("tcp4", listener)
	addr, ok := to.(*net.TCPAddr)
	return err == nil && ok && own.Port == addr.Port && (own.IP == nil || own.IP.IsUnspecified() || own.IP.Equal(addr.IP))
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	handler, ok := c.Context().(connection)
	if !ok {
		return gnet.Close
	}
	l.coalesce()
	action := handler.onTraffic(c)
	l.lastTraffic = time.Now()
	return action
}

// coalesce delays the start of a batch, so that more data arrives before the loop reads.
// It does not delay while connections are being accepted: gnet accepts one connection per
// wake-up, so that thousands of machines that reconnect at the same time would be accepted
// at only 14 a second.
func (l *Loop) coalesce() {
	now := time.Now()
	if now.Sub(l.lastTraffic) < sameBatchWindow || now.Sub(l.lastAccept) < sameBatchWindow {
		return
	}
	l.underLoad = now.Sub(l.lastBatchStart) < 2*l.batchInterval
	l.lastBatchStart = l.sleepUntilNextBatch(now)
}

// sleepUntilNextBatch sleeps until batchInterval has passed since the last batch began, and
// returns the current time after that. It blocks the operating system thread, which costs
// one wake-up; a sleeping goroutine would cost several wake-ups of the runtime's threads. If
// a signal ends the sleep early, the batch only starts early.
func (l *Loop) sleepUntilNextBatch(now time.Time) time.Time {
	left := l.batchInterval - now.Sub(l.lastBatchStart)
	if left <= 0 {
		return now
	}
	spec := unix.NsecToTimespec(left.Nanoseconds())
	_ = unix.Nanosleep(&spec, nil)
	return time.Now()
}

// NotifyBatchHandled is called when everything that the loop has read was handled. Under
// load the loop then sleeps until its next batch, instead of being woken up by new data only
// to start that sleep. It returns immediately.
func (l *Loop) NotifyBatchHandled() { l.execute(l.sleepIfUnderLoad) }

// sleepIfUnderLoad runs on the loop's goroutine. It does not sleep if connections were
// accepted since the last batch began.
func (l *Loop) sleepIfUnderLoad() {
	if l.underLoad && !l.lastAccept.After(l.lastBatchStart) {
		l.sleepUntilNextBatch(time.Now())
	}
}

// execute schedules fn on the loop's goroutine. It does nothing if the loop has never had a
// connection.
func (l *Loop) execute(fn func()) {
	l.registerMu.Lock()
	eventLoop := l.eventLoop
	l.registerMu.Unlock()
	if eventLoop == nil {
		return
	}
	// An error means that the loop has stopped.
	_ = eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		fn()
		return nil
	}))
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	if handler, ok := c.Context().(connection); ok {
		handler.onClose(c)
	}
	return gnet.None
}

// OnTick implements gnet.EventHandler. The first tick closes ready: before it gnet's event
// loop may not yet exist, so that no connection could be registered.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	l.readyOnce.Do(func() { close(l.ready) })
	now := time.Now()
	for _, s := range l.services {
		s.tick(now)
	}
	return tickInterval, gnet.None
}
