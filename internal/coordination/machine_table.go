package coordination

// maxMachines bounds the machines that a controller knows: three times a fleet of
// 6,000, as one that was terminated is remembered for tombstoneTTL and may have been
// replaced twice meanwhile. More are refused at once.
const maxMachines = 20000

// machineTable holds the leader's machines, by name and by dense index.
type machineTable struct {
	byName      map[string]*machine
	byIndex     []*machine // nil where an index is free
	freeIndexes []uint32
	sliceCursor int // of the work that goes through all machines in slices
}

// init prepares an empty table.
func (t *machineTable) init() { t.byName = make(map[string]*machine) }

// get returns a machine, or nil if it is not known.
func (t *machineTable) get(name string) *machine { return t.byName[name] }

// at returns the machine of an index, or nil.
func (t *machineTable) at(index uint32) *machine {
	if int(index) >= len(t.byIndex) {
		return nil
	}
	return t.byIndex[index]
}

// add makes a machine known and returns it, or nil if there are maxMachines.
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

// remove forgets a machine; its index is used again.
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

// nextSlice yields the next part of all machines; parts calls go through them all.
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
