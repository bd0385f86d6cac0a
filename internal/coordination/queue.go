package coordination

import "time"

// Queue is the command queue of a core: everything that touches its state is
// a command on it, drained in batches by the one goroutine that runs Run.
// Workers' reports wait in a line of their own: when they all come at once,
// health checks, users and the other members do not stand behind them.
type Queue struct {
	commands chan func()
	reports  chan func()
	stop     chan struct{}
}

const (
	queueLength       = 4096
	reportQueueLength = maxMachines // each machine has one report in flight
	batchLength       = 256
	tickEvery         = 100 * time.Millisecond
)

// NewQueue makes an empty queue.
func NewQueue() *Queue {
	return &Queue{commands: make(chan func(), queueLength), reports: make(chan func(), reportQueueLength), stop: make(chan struct{})}
}

// Post adds a command. It waits while the queue is full, which holds back
// the event loop that brings more.
func (q *Queue) Post(fn func()) {
	select {
	case q.commands <- fn:
	case <-q.stop:
	}
}

// Offer adds a command for a request, a worker's report or any other, unless the
// queue is full: then the request is to be refused at once. Other commands pass
// reports.
func (q *Queue) Offer(fn func(), report bool) bool {
	to := q.commands
	if report {
		to = q.reports
	}
	select {
	case to <- fn:
		return true
	default:
		return false
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
		case fn := <-q.reports:
			q.drain()
			fn()
			q.drain()
		}
		core.EndBatch()
		if len(q.commands)+len(q.reports) == 0 {
			rest()
		}
	}
}

func (q *Queue) drain() {
	for range batchLength {
		select {
		case fn := <-q.commands:
			fn()
			continue
		default:
		}
		select {
		case fn := <-q.reports:
			fn()
		default:
			return
		}
	}
}
