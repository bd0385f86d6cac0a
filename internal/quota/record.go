package quota

import "maps"

// Record is the durable division of one team's limit among the shards.
type Record struct {
	Shares map[string]Share `cbor:"s"`
}

// Share is what one shard has of a team's limit.
type Share struct {
	// Allocation is what the shard's holder may spend.
	Allocation Amount `cbor:"a"`
	// Limit is the team's limit in the holder's settings. While holders are given
	// new settings one after the other the lowest of them is in force.
	Limit Amount `cbor:"l"`
}

// clone returns a copy to change.
func (r Record) clone() Record {
	shares := maps.Clone(r.Shares)
	if shares == nil {
		shares = make(map[string]Share)
	}
	return Record{Shares: shares}
}

// Allocated is the sum of all allocations.
func (r Record) Allocated() Amount {
	var sum Amount
	for _, s := range r.Shares {
		sum = sum.Add(s.Allocation)
	}
	return sum
}

// LimitInForce is the lowest limit that the settings of any holder name.
func (r Record) LimitInForce(own Amount) Amount {
	limit := own
	for _, s := range r.Shares {
		limit = limit.Min(s.Limit)
	}
	return limit
}

// valid tells whether a record can be one of ours.
func (r Record) valid() bool {
	for shard, s := range r.Shares {
		for _, v := range []int64{s.Allocation.CPUs, s.Allocation.GPUs, s.Limit.CPUs, s.Limit.GPUs} {
			if v < 0 || v > largestAmount {
				return false
			}
		}
		if shard == "" {
			return false
		}
	}
	return true
}

// allocate changes a shard's allocation.
func (r Record) allocate(shard string, a Amount) {
	s := r.Shares[shard]
	s.Allocation = a
	r.Shares[shard] = s
}
