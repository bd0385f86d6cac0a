package coordination

import "time"

// EventLoop serializes access to a controller's state. Other goroutines post
// functions, and the one goroutine that runs Run calls them in batches. Heartbeats of
// machines have a queue of their own, so that health checks, users' requests and
// other members' frames do not wait behind them when all machines send at once.
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

// NewEventLoop returns a loop with empty queues.
func NewEventLoop() *EventLoop {
	return &EventLoop{
		commands:   make(chan func(), commandQueueLength),
		heartbeats: make(chan func(), heartbeatQueueLength),
		stopped:    make(chan struct{}),
	}
}

// Post adds a command. It blocks while the queue is full, which slows the callers
// down, and drops the command once the loop has been stopped.
func (e *EventLoop) Post(command func()) {
	select {
	case e.commands <- command:
	case <-e.stopped:
	}
}

// TryPost adds the command that handles a request and reports whether it did. It
// fails if the queue of the request's class is full; the caller must then reject the
// request at once.
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

// Stop ends Run. It must be called only once.
func (e *EventLoop) Stop() { close(e.stopped) }

// Run calls the commands and ticks the controller on the calling goroutine until
// Stop. After a batch that leaves both queues empty it calls onIdle, which may block
// until the goroutines that post commands have had a turn.
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

// drain calls at most maxBatchSize queued commands and heartbeats. A heartbeat is
// called only while no command is queued.
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
