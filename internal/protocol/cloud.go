package protocol

// MachineType is one machine type of the cloud's catalog, with the resources and prices of one
// machine.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"localGb"`     // size of the image cache
	FetchRate float64  `cbor:"fetchGbPerS"` // GB of images fetched per second
	Price     float64  `cbor:"price"`       // per hour
	SpotPrice float64  `cbor:"spotPrice"`
	BootS     float64  `cbor:"readyS"` // usual boot time in seconds
	Zones     []string `cbor:"halls"`
}

// Catalog is the cloud's response that lists all machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// ScaleOutRequest asks the cloud to create machines of one kind. It is idempotent by RequestID:
// a repeated request creates no further machines.
type ScaleOutRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"breed"`
	Zone      string `cbor:"hall"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineNames is a list of machine names.
type MachineNames struct {
	Machines []string `cbor:"roosts"`
}

// ListedMachine is one machine in the cloud's machine list.
type ListedMachine struct {
	ID     string  `cbor:"nameId"`
	Addr   string  `cbor:"address"`
	Type   string  `cbor:"breed"`
	Zone   string  `cbor:"hall"`
	Spot   bool    `cbor:"loaners"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"heldS"` // seconds since the machine was requested
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `cbor:"roosts"`
	More     bool            `cbor:"hasNext"`
}
