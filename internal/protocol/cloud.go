package protocol

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"localGb"`     // of images
	FetchRate float64  `cbor:"fetchGbPerS"` // of images
	Price     float64  `cbor:"price"`       // per hour
	SpotPrice float64  `cbor:"spotPrice"`
	BootS     float64  `cbor:"readyS"` // seconds that it usually takes to boot
	Zones     []string `cbor:"halls"`
}

// Catalog is the cloud's answer with all machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// ScaleOutRequest asks the cloud for machines of one kind. A repeat with the same
// RequestID gets no others.
type ScaleOutRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"breed"`
	Zone      string `cbor:"hall"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineNames is a list of machines by name.
type MachineNames struct {
	Machines []string `cbor:"roosts"`
}

// ListedMachine is one row of the cloud's machine list.
type ListedMachine struct {
	ID     string  `cbor:"nameId"`
	Addr   string  `cbor:"address"`
	Type   string  `cbor:"breed"`
	Zone   string  `cbor:"hall"`
	Spot   bool    `cbor:"loaners"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"heldS"` // seconds since it was requested
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `cbor:"roosts"`
	More     bool            `cbor:"hasNext"`
}
