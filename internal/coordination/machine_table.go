package coordination

// maxMachines limits the machines that a controller tracks. It is more than three times a
// fleet of 6,000, as a terminated machine stays in the table for tombstoneTTL and may be
// replaced twice within that time. Further machines are rejected at once.
const maxMachines = 20000

// machineTable holds the leader's machines by name and by dense index.
type machineTable struct {
	byName      map[string]*machine
	byIndex     []*machine // nil where an index is free
	freeIndexes []uint32
	sliceCursor int // last index that nextSlice visited
}

// init prepares an empty table.
func (t *machineTable) init() { t.byName = make(map[string]*machine) }

// get returns a machine, or nil if it is not in the table.
func (t *machineTable) get(name string) *machine { return t.byName[name] }

// at returns the machine with an index, or nil.
func (t *machineTable) at(index uint32) *machine {
	if int(index) >= len(t.byIndex) {
		return nil
	}
	return t.byIndex[index]
}

// add returns the machine with a name, adding it if it is missing. It returns nil if the table
// already holds maxMachines others.
func (t *machineTable) add(name string) *machine {
	if m := t.byName[name]; m != nil {
		return m
	}
	if len(t.byName) >= maxMachines {
		return nil
	}
	m := &machine{name: name}
	if n := len(t.freeIndexes); n > 0 {
		m.index = t.freeIndexes[n-1]
		t.freeIndexes = t.freeIndexes[:n-1]
		t.byIndex[m.index] = m
	} else {
		m.index = uint32(len(t.byIndex))
		t.byIndex = append(t.byIndex, m)
	}
	t.byName[name] = m
	return m
}

// remove removes a machine; its index may be reused.
func (t *machineTable) remove(m *machine) {
	delete(t.byName, m.name)
	t.byIndex[m.index] = nil
	t.freeIndexes = append(t.freeIndexes, m.index)
}

// all yields every machine.
func (t *machineTable) all(yield func(*machine) bool) {
	for _, m := range t.byIndex {
		if m != nil && !yield(m) {
			return
		}
	}
}

// nextSlice yields the next 1/parts of all machines, so that parts calls visit them all.
func (t *machineTable) nextSlice(parts int, yield func(*machine)) {
	n := len(t.byIndex)
	for range (n + parts - 1) / parts {
		t.sliceCursor++
		if t.sliceCursor >= n {
			t.sliceCursor = 0
		}
		if m := t.byIndex[t.sliceCursor]; m != nil {
			yield(m)
		}
	}
}
