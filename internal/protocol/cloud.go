package protocol

// MachineType is one row of the cloud's catalogue.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"localGb"`
	FetchRate float64  `cbor:"fetchGbPerS"`
	Price     float64  `cbor:"price"`
	SpotPrice float64  `cbor:"spotPrice"`
	BootS     float64  `cbor:"readyS"`
	Zones     []string `cbor:"halls"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// ScaleOutRequest asks the cloud for machines.
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

// ListedMachine is one row of the cloud's list.
type ListedMachine struct {
	ID     string  `cbor:"nameId"`
	Addr   string  `cbor:"address"`
	Type   string  `cbor:"breed"`
	Zone   string  `cbor:"hall"`
	Spot   bool    `cbor:"loaners"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"roosts"`
	More     bool            `cbor:"hasNext"`
}
