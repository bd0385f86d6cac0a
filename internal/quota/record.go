package quota

import "maps"

// Record is the durable division of one team's limit among the shards.
type Record struct {
	Shares map[string]Share `cbor:"s"`
}

// Share is one shard's part of a team's limit.
type Share struct {
	// Allocation is the amount that the shard's holder may spend.
	Allocation Amount `cbor:"a"`
	// Limit is the team's limit in the holder's settings. While new settings are rolled out to
	// the holders one after the other, the lowest of their limits is in force.
	Limit Amount `cbor:"l"`
}

// clone returns a copy that may be changed; its Shares are not nil.
func (r Record) clone() Record {
	shares := maps.Clone(r.Shares)
	if shares == nil {
		shares = make(map[string]Share)
	}
	return Record{Shares: shares}
}

// Allocated returns the sum of all allocations.
func (r Record) Allocated() Amount {
	var sum Amount
	for _, s := range r.Shares {
		sum = sum.Add(s.Allocation)
	}
	return sum
}

// LimitInForce returns the lowest of the limits in the settings of this process (own) and of all
// holders that have a share.
func (r Record) LimitInForce(own Amount) Amount {
	limit := own
	for _, s := range r.Shares {
		limit = limit.Min(s.Limit)
	}
	return limit
}

// valid reports whether a record can have been written by a Manager: all amounts are in range
// and no shard name is empty.
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

// allocate sets a shard's allocation.
func (r Record) allocate(shard string, a Amount) {
	s := r.Shares[shard]
	s.Allocation = a
	r.Shares[shard] = s
}
