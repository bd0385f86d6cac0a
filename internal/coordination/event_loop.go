package coordination

import "time"

// EventLoop serializes all that touches a controller's state: whoever brings
// something posts a function, and the one goroutine that runs Run calls them in
// batches. Heartbeats of machines wait in a queue of their own: when they all
// come at once, health checks, users and other members do not wait behind them.
//
// Post, TryPost and Stop may be called from any goroutine.
type EventLoop struct {
	commands   chan func()
	heartbeats chan func()
	stopped    chan struct{}
}

const (
	commandQueueLength   = 4096
	heartbeatQueueLength = maxMachines // each machine has one heartbeat in flight
	maxBatchSize         = 256
	tickInterval         = 100 * time.Millisecond
)

// NewEventLoop makes a loop with empty queues.
func NewEventLoop() *EventLoop {
	return &EventLoop{
		commands:   make(chan func(), commandQueueLength),
		heartbeats: make(chan func(), heartbeatQueueLength),
		stopped:    make(chan struct{}),
	}
}

// Post adds a command. It waits while the queue is full, which holds back
// whoever brings more, and drops the command once the loop has been stopped.
func (e *EventLoop) Post(command func()) {
	select {
	case e.commands <- command:
	case <-e.stopped:
	}
}

// TryPost adds the command that handles a request and tells whether it did: if
// the queue of the request's class is full, the request is to be refused at once.
func (e *EventLoop) TryPost(class RequestClass, command func()) bool {
	queue := e.commands
	if class == ClassHeartbeat {
		queue = e.heartbeats
	}
	select {
	case queue <- command:
		return true
	default:
		return false
	}
}

// Stop ends Run. It must be called once only.
func (e *EventLoop) Stop() { close(e.stopped) }

// Run calls the commands and ticks the controller on the calling goroutine, until
// Stop. onIdle is called whenever both queues are empty; it may wait for the
// next turn of whoever brings more.
func (e *EventLoop) Run(controller *Controller, onIdle func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stopped:
			return
		case <-ticker.C:
			controller.Tick()
		case command := <-e.commands:
			command()
			e.drain()
		case heartbeat := <-e.heartbeats:
			e.drain()
			heartbeat()
			e.drain()
		}
		controller.EndBatch()
		if len(e.commands)+len(e.heartbeats) == 0 {
			onIdle()
		}
	}
}

// drain calls what is queued, up to a batch, commands before heartbeats.
func (e *EventLoop) drain() {
	for range maxBatchSize {
		select {
		case command := <-e.commands:
			command()
			continue
		default:
		}
		select {
		case heartbeat := <-e.heartbeats:
			heartbeat()
		default:
			return
		}
	}
}
