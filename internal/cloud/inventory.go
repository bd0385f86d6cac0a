// Package cloud is the client of the cloud. It reads the catalog of machine types with their
// prices and the list of machines, and carries out a leader's decisions to request and release
// machines.
//
// The package owns the catalog, the machine list, the requests in flight and this process's share
// of the cloud's call rate. A list is replaced only by one that was read completely, and no call
// exceeds the share. The package does not decide which machines to create or release. It draws no
// conclusions from the list, which lags and may go back in time; that is up to the observer.
//
// Inventory and Scaler are not safe for concurrent use: the goroutine that owns the controller's
// state calls them and receives the responses to their calls.
package cloud

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/settings"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	// CallTimeout is the timeout of a call to the cloud.
	CallTimeout = 4 * time.Second
	// RetryDelay is the delay after a call that was rejected or got no response.
	RetryDelay = 1500 * time.Millisecond

	statusOK = 200 // HTTP status code
)

// Config contains the dependencies and settings of an Inventory.
type Config struct {
	API      storage.Caller
	Clock    storage.Clock
	Codec    *protocol.Codec
	Settings settings.Cloud
	Peers    int // other controllers, with which this process divides the call rate
	// MaxMachines is the number of machines after which no more pages of a list are read; a
	// longer list is treated as complete at that point.
	MaxMachines int
}

// ListObserver receives the machine lists that are read while it leads.
type ListObserver interface {
	// MachinesListed receives a completely read list, in the cloud's order. The inventory has
	// already been updated with it.
	MachinesListed(machines []protocol.ListedMachine, now time.Duration)
}

// Inventory contains the cloud's catalog and machine list as last read. Every controller reads the
// catalog, to check submissions; only the leader reads the list.
type Inventory struct {
	config  Config
	limiter callLimiter
	// observer receives the lists while this process is the leader; otherwise it is nil.
	observer ListObserver

	catalog         Catalog
	catalogInFlight bool
	nextCatalogAt   time.Duration // all times are on Config.Clock

	listing    *listing // the read in progress, or nil
	nextListAt time.Duration
	listed     map[string]ListedMachine // by machine name
	listedAt   time.Duration            // see ListedAt
}

// NewInventory returns an inventory without machine types and machines.
func NewInventory(config Config) *Inventory {
	return &Inventory{
		config:  config,
		limiter: newCallLimiter(config.Settings.RPS, config.Peers),
		catalog: make(Catalog),
		listed:  make(map[string]ListedMachine),
	}
}

// StartLeading starts reading the machine list for an observer. List and catalog are read
// immediately, since the leader needs current machines and prices.
func (i *Inventory) StartLeading(observer ListObserver, now time.Duration) {
	i.observer = observer
	i.nextCatalogAt, i.nextListAt = min(i.nextCatalogAt, now), now
}

// StopLeading stops reading the machine list. A page that is still in flight may complete the list
// for the observer that it was requested for.
func (i *Inventory) StopLeading() { i.observer = nil }

// Tick makes the calls that are due.
func (i *Inventory) Tick(now time.Duration) {
	i.pollCatalog(now)
	if i.observer != nil {
		i.pollList(now)
	}
}

// AllowCall takes one call from this process's share of the cloud's call rate and reports whether
// one was available.
func (i *Inventory) AllowCall(now time.Duration) bool {
	return i.limiter.allow(now, i.observer != nil)
}

// seconds converts a number of seconds, as in settings and messages, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
