// Package cloud holds what the cloud says: its catalogue of machine types with
// their prices, and its list of machines; and it carries out a leader's decisions
// to request and release machines.
//
// The package owns the catalogue, the list, the requests in flight and this
// process's share of the cloud's rate of calls. It promises that a list is
// replaced only by one that was read whole, and that no call is made beyond the
// share. It never decides which machines there should be, and draws no conclusions
// about them: lists lag and may go back in time, so what they mean is for the
// observer to decide.
//
// Like all state of a controller, inventory and scaler belong to one goroutine, on
// which the answers to their calls arrive too.
package cloud

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// CallTimeout is how long a call of the cloud waits for its answer.
	CallTimeout = 4 * time.Second
	// RetryDelay is the pause after a call that was refused or got no answer.
	RetryDelay = 1500 * time.Millisecond

	statusOK = 200 // of an answer
)

// Config is what an Inventory needs of its surroundings.
type Config struct {
	API      storage.Caller
	Clock    storage.Clock
	Codec    *protocol.Codec
	Settings settings.Cloud
	Peers    int // other controllers, with which this process shares the rate of calls
	// MaxMachines is how many machines a list is read for; one that is longer is
	// taken as it is by then.
	MaxMachines int
}

// ListObserver takes the machine lists that are read while it leads.
type ListObserver interface {
	// MachinesListed takes a list that was read whole, in the cloud's order. The
	// inventory holds it already.
	MachinesListed(machines []protocol.ListedMachine, now time.Duration)
}

// Inventory is the cloud's catalogue and machine list as this process last read
// them. Every controller reads the catalogue, to judge submissions; only the
// leader reads the list.
type Inventory struct {
	config  Config
	limiter callLimiter
	// observer is the leader on this process; nil while it does not lead.
	observer ListObserver

	catalog         Catalog
	catalogInFlight bool
	nextCatalogAt   time.Duration

	listing    *listing // nil: none is under way
	nextListAt time.Duration
	listed     map[string]ListedMachine
	listedAt   time.Duration
}

// NewInventory returns an inventory that knows neither machine types nor machines.
func NewInventory(config Config) *Inventory {
	return &Inventory{
		config:  config,
		limiter: newCallLimiter(config.Settings.RPS, config.Peers),
		catalog: make(Catalog),
		listed:  make(map[string]ListedMachine),
	}
}

// Lead begins to read the machine list for an observer, and reads list and
// catalogue at once: the leader decides by machines and prices as they are now.
func (i *Inventory) StartLeading(observer ListObserver, now time.Duration) {
	i.observer = observer
	i.nextCatalogAt, i.nextListAt = min(i.nextCatalogAt, now), now
}

// Follow ends what Lead began. A page that is still on its way completes the
// list for the observer that it was asked for.
func (i *Inventory) StopLeading() { i.observer = nil }

// Tick makes the calls that are due.
func (i *Inventory) Tick(now time.Duration) {
	i.pollCatalog(now)
	if i.observer != nil {
		i.pollList(now)
	}
}

// AllowCall takes one call from this process's share of the cloud's rate, and
// tells whether there was one.
func (i *Inventory) AllowCall(now time.Duration) bool {
	return i.limiter.allow(now, i.observer != nil)
}

// seconds converts a number of seconds of the settings or the wire.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
