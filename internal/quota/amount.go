package quota

import "math"

// Amount is what tasks use, in thousandths of a CPU and of a GPU, so that sums are
// exact. Its tags are those of the stored records.
type Amount struct {
	CPUs int64 `cbor:"c,omitempty"`
	GPUs int64 `cbor:"g,omitempty"`
}

const (
	thousandthsPerUnit = 1000
	// roundingTolerance is how far a product of decimal fractions may lie beside a
	// whole number of thousandths.
	roundingTolerance = 1e-6
	largestAmount     = int64(1) << 50
)

// AmountOf is the amount of whole and partial CPUs and GPUs that a task uses, rounded up.
func AmountOf(cpus, gpus float64) Amount {
	up := func(v float64) int64 { return clamp(math.Ceil(v*thousandthsPerUnit - roundingTolerance)) }
	return Amount{CPUs: up(cpus), GPUs: up(gpus)}
}

// Unlimited stands for a part that has no limit.
const Unlimited = largestAmount

// LimitOf is the amount of CPUs and GPUs that a team may use, rounded down. A limit of 0
// is read as none.
func LimitOf(cpus, gpus float64) Amount {
	down := func(v float64) int64 {
		if v <= 0 {
			return Unlimited
		}
		return clamp(math.Floor(v*thousandthsPerUnit + roundingTolerance))
	}
	return Amount{CPUs: down(cpus), GPUs: down(gpus)}
}

// clamp keeps a number of thousandths within what sums of amounts can hold.
func clamp(v float64) int64 {
	return int64(math.Min(math.Max(v, 0), float64(largestAmount)))
}

// Add returns the sum.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns the difference; what is missing shows as a negative part.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Mul returns n times the amount.
func (a Amount) Mul(n int) Amount { return Amount{a.CPUs * int64(n), a.GPUs * int64(n)} }

// Min returns the smaller of each part.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger of each part.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative returns the amount with 0 for each negative part.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Within tells whether no part is larger than the other's.
func (a Amount) Within(b Amount) bool { return a.CPUs <= b.CPUs && a.GPUs <= b.GPUs }

// IsZero tells whether there is nothing of either part.
func (a Amount) IsZero() bool { return a == Amount{} }

// dividedBy returns the n-th of each part.
func (a Amount) dividedBy(n int) Amount { return Amount{a.CPUs / int64(n), a.GPUs / int64(n)} }

// quotient returns how often b fits into a.
func (a Amount) quotient(b Amount) int {
	n := int64(math.MaxInt32)
	for _, part := range [...]struct{ has, needs int64 }{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}} {
		if part.needs > 0 {
			n = min(n, max(0, part.has)/part.needs)
		}
	}
	return int(n)
}
