package coordination

import "time"

// Queue is the command queue of a core: everything that touches its state is
// a command on it, drained in batches by the one goroutine that runs Run.
type Queue struct {
	commands chan func()
	stop     chan struct{}
}

const (
	queueLength = 4096
	batchLength = 256
	tickEvery   = 100 * time.Millisecond
)

// NewQueue makes an empty queue.
func NewQueue() *Queue {
	return &Queue{commands: make(chan func(), queueLength), stop: make(chan struct{})}
}

// Post adds a command. It waits while the queue is full, which holds back
// the event loop that brings more.
func (q *Queue) Post(fn func()) {
	select {
	case q.commands <- fn:
	case <-q.stop:
	}
}

// Stop ends Run.
func (q *Queue) Stop() { close(q.stop) }

// Run drains the queue into core until Stop. rest is called whenever all that
// was queued has been dealt with.
func (q *Queue) Run(core *Core, rest func()) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-q.stop:
			return
		case <-ticker.C:
			core.Tick()
		case fn := <-q.commands:
			fn()
			q.drain()
		}
		core.EndBatch()
		if len(q.commands) == 0 {
			rest()
		}
	}
}

func (q *Queue) drain() {
	for range batchLength {
		select {
		case fn := <-q.commands:
			fn()
		default:
			return
		}
	}
}
