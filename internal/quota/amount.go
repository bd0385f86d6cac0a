package quota

import "math"

// Amount is an amount of CPUs and GPUs, in thousandths of a CPU and of a GPU; integers keep sums
// exact. The tags are those of the stored records.
type Amount struct {
	CPUs int64 `cbor:"c,omitempty"`
	GPUs int64 `cbor:"g,omitempty"`
}

const (
	thousandthsPerUnit = 1000
	// roundingTolerance is how far, in thousandths, a product of decimal fractions may be from
	// the whole number of thousandths that it stands for.
	roundingTolerance = 1e-6
	largestAmount     = int64(1) << 50
)

// AmountOf returns the amount that a task with that many CPUs and GPUs uses. Fractions of a
// thousandth are rounded up.
func AmountOf(cpus, gpus float64) Amount {
	roundUp := func(v float64) int64 { return clamp(math.Ceil(v*thousandthsPerUnit - roundingTolerance)) }
	return Amount{CPUs: roundUp(cpus), GPUs: roundUp(gpus)}
}

// Unlimited is the value of a part of a limit that is not limited.
const Unlimited = largestAmount

// LimitOf returns a team's limit of CPUs and GPUs, rounded down to thousandths. A part of 0 or
// less is Unlimited.
func LimitOf(cpus, gpus float64) Amount {
	roundDown := func(v float64) int64 {
		if v <= 0 {
			return Unlimited
		}
		return clamp(math.Floor(v*thousandthsPerUnit + roundingTolerance))
	}
	return Amount{CPUs: roundDown(cpus), GPUs: roundDown(gpus)}
}

// clamp limits a number of thousandths to 0 through largestAmount, so that sums of amounts don't
// overflow.
func clamp(v float64) int64 {
	return int64(math.Min(math.Max(v, 0), float64(largestAmount)))
}

// Add returns the sum.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns the difference. A part of which b has more is negative.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Mul returns n times the amount.
func (a Amount) Mul(n int) Amount { return Amount{a.CPUs * int64(n), a.GPUs * int64(n)} }

// Min returns the smaller value of each part.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger value of each part.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative returns the amount with negative parts replaced by 0.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Within reports whether no part is larger than the same part of b.
func (a Amount) Within(b Amount) bool { return a.CPUs <= b.CPUs && a.GPUs <= b.GPUs }

// IsZero reports whether both parts are 0.
func (a Amount) IsZero() bool { return a == Amount{} }

// dividedBy returns each part divided by n, without the remainder.
func (a Amount) dividedBy(n int) Amount { return Amount{a.CPUs / int64(n), a.GPUs / int64(n)} }

// quotient returns how many times b fits into a. Parts that b doesn't need are ignored.
func (a Amount) quotient(b Amount) int {
	count := int64(math.MaxInt32)
	for _, part := range [...]struct{ available, needed int64 }{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}} {
		if part.needed > 0 {
			count = min(count, max(0, part.available)/part.needed)
		}
	}
	return int(count)
}
