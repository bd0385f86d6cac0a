// Package quota divides each team's limit among the ledgers of a deployment, so
// that all controllers together never admit more than it allows (escrow). The
// division is durable: one record a team in the state service, changed only by
// transactions that are conditional on the record's stamp and on the stamp of the
// changing holder's ledger key. A holder admits tasks out of the allocation that
// the record certainly gives its ledger, and out of nothing else.
//
// The package is a deterministic state machine: it does no I/O, reads no clock and
// starts nothing. Its caller feeds it with records, outcomes of transactions, other
// holders' demands and the time, and carries out the transactions that it plans.
// docs/quota.md argues why no limit can be exceeded.
package quota

import "math"

// Amount is what tasks use, in thousandths of a CPU and of a GPU, so that sums are
// exact.
type Amount struct {
	CPUs int64 `cbor:"c,omitempty"`
	GPUs int64 `cbor:"g,omitempty"`
}

const (
	thousandths = 1000
	// roundingSlack is how far a product of decimal fractions may lie beside a
	// whole number of thousandths.
	roundingSlack = 1e-6
	largestAmount = int64(1) << 50
)

// AmountOf is what a task uses, rounded up.
func AmountOf(cpus, gpus float64) Amount {
	up := func(v float64) int64 { return clamp(math.Ceil(v*thousandths - roundingSlack)) }
	return Amount{CPUs: up(cpus), GPUs: up(gpus)}
}

// Unlimited stands for a part that has no limit.
const Unlimited = largestAmount

// LimitOf is what a team may use, rounded down. A limit of 0 is read as none.
func LimitOf(cpus, gpus float64) Amount {
	down := func(v float64) int64 {
		if v <= 0 {
			return Unlimited
		}
		return clamp(math.Floor(v*thousandths + roundingSlack))
	}
	return Amount{CPUs: down(cpus), GPUs: down(gpus)}
}

func clamp(v float64) int64 {
	return int64(math.Min(math.Max(v, 0), float64(largestAmount)))
}

// Add adds.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub subtracts; what is missing shows as a negative part.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Mul multiplies.
func (a Amount) Mul(n int) Amount { return Amount{a.CPUs * int64(n), a.GPUs * int64(n)} }

// Min is the smaller of each part.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max is the larger of each part.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative leaves nothing below zero.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Within tells whether no part is larger than the other's.
func (a Amount) Within(b Amount) bool { return a.CPUs <= b.CPUs && a.GPUs <= b.GPUs }

// IsZero tells whether there is nothing of either part.
func (a Amount) IsZero() bool { return a == Amount{} }

// dividedBy is each part's n-th.
func (a Amount) dividedBy(n int) Amount { return Amount{a.CPUs / int64(n), a.GPUs / int64(n)} }

// quotient is how often b fits into a.
func (a Amount) quotient(b Amount) int {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	return int(n)
}
