package coordination

import "time"

// EventLoop is the command queue of a core: everything that touches its state is
// a command on it, drained in batches by the one goroutine that runs Run.
// Workers' reports wait in a line of their own: when they all come at once,
// health checks, users and the other members do not stand behind them.
type EventLoop struct {
	commands   chan func()
	heartbeats chan func()
	stopped    chan struct{}
}

const (
	commandQueueLength   = 4096
	heartbeatQueueLength = maxMachines // each machine has one report in flight
	maxBatch             = 256
	tickInterval         = 100 * time.Millisecond
)

// NewEventLoop makes an empty queue.
func NewEventLoop() *EventLoop {
	return &EventLoop{commands: make(chan func(), commandQueueLength), heartbeats: make(chan func(), heartbeatQueueLength), stopped: make(chan struct{})}
}

// Post adds a command. It waits while the queue is full, which holds back
// the event loop that brings more.
func (e *EventLoop) Post(fn func()) {
	select {
	case e.commands <- fn:
	case <-e.stopped:
	}
}

// TryPost adds a command for a request, a worker's report or any other, unless the
// queue is full: then the request is to be refused at once. Other commands pass
// reports.
func (e *EventLoop) TryPost(fn func(), heartbeat bool) bool {
	queue := e.commands
	if heartbeat {
		queue = e.heartbeats
	}
	select {
	case queue <- fn:
		return true
	default:
		return false
	}
}

// Stop ends Run.
func (e *EventLoop) Stop() { close(e.stopped) }

// Run drains the queue into core until Stop. rest is called whenever all that
// was queued has been dealt with.
func (e *EventLoop) Run(controller *Controller, onIdle func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stopped:
			return
		case <-ticker.C:
			controller.Tick()
		case fn := <-e.commands:
			fn()
			e.drain()
		case fn := <-e.heartbeats:
			e.drain()
			fn()
			e.drain()
		}
		controller.EndBatch()
		if len(e.commands)+len(e.heartbeats) == 0 {
			onIdle()
		}
	}
}

func (e *EventLoop) drain() {
	for range maxBatch {
		select {
		case fn := <-e.commands:
			fn()
			continue
		default:
		}
		select {
		case fn := <-e.heartbeats:
			fn()
		default:
			return
		}
	}
}
