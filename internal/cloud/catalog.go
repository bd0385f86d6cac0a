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

// Catalog contains the machine types that the cloud offers, by name. It is immutable: each read
// replaces it as a whole.
type Catalog map[string]*protocol.MachineType

// Catalog returns the machine types as last read; it is empty before the first read. Callers
// must not modify it.
func (i *Inventory) Catalog() Catalog { return i.catalog }

// Type returns a machine type, or nil if the cloud does not offer it.
func (i *Inventory) Type(name string) *protocol.MachineType { return i.catalog[name] }

// pollCatalog requests the catalog if a read is due.
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

// catalogInterval returns the time between reads of the catalog. It is shorter for the leader,
// which chooses machines by their prices.
func (i *Inventory) catalogInterval() time.Duration {
	if i.observer != nil {
		return leaderCatalogInterval
	}
	return catalogInterval
}
