package cloud

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	catalogInterval       = 60 * time.Second
	leaderCatalogInterval = 10 * time.Second
)

// Catalog is the machine types that the cloud offers, by name. One that was read
// replaces the last one whole; none is changed after that.
type Catalog map[string]*protocol.MachineType

// Catalog returns the machine types as they were last read; it is empty before
// that. Callers must not change it.
func (i *Inventory) Catalog() Catalog { return i.catalog }

// Type returns a machine type, or nil if the cloud does not offer it.
func (i *Inventory) Type(name string) *protocol.MachineType { return i.catalog[name] }

// pollCatalog asks for the catalogue when it is due.
func (i *Inventory) pollCatalog(now time.Duration) {
	if i.catalogInFlight || now < i.nextCatalogAt || !i.AllowCall(now) {
		return
	}
	i.catalogInFlight = true
	i.config.API.Call("GET", "/catalog", nil, CallTimeout, i.handleCatalog)
}

func (i *Inventory) handleCatalog(r storage.Response) {
	i.catalogInFlight = false
	var catalog protocol.Catalog
	if r.Status != statusOK || i.config.Codec.Decode(r.Body, &catalog) != nil || len(catalog.Types) == 0 {
		i.nextCatalogAt = i.config.Clock.Now() + RetryDelay
		return
	}
	i.nextCatalogAt = i.config.Clock.Now() + i.catalogInterval()
	i.catalog = make(Catalog, len(catalog.Types))
	for k := range catalog.Types {
		i.catalog[catalog.Types[k].Name] = &catalog.Types[k]
	}
}

// catalogInterval is shorter for the leader, which buys by the prices.
func (i *Inventory) catalogInterval() time.Duration {
	if i.observer != nil {
		return leaderCatalogInterval
	}
	return catalogInterval
}
