package settings

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"github.com/magiconair/properties"
)

// Tuning contains the operators' settings. The key of each property is given in parentheses.
type Tuning struct {
	// StateLease (state.lease) is the TTL of this process's lease at the state service.
	StateLease time.Duration
	// MaxMissedHeartbeats (loss.silence_reports) is the number of heartbeat intervals without
	// a heartbeat after which no more tasks are bound to a machine.
	MaxMissedHeartbeats float64
	// OfferWait (placement.offer_wait) is how long the response to a heartbeat is delayed to
	// wait for bindings.
	OfferWait time.Duration
	// StartsPerResponse (placement.starts_per_reply) is the maximum number of tasks that one
	// heartbeat response starts.
	StartsPerResponse int
	// StateRateShare (bookkeeping.write_share) is the fraction of the state service's request
	// and write rates that all controllers together use.
	StateRateShare float64
	// IdleBeforeScaleIn (renting.idle_return) is how long a machine stays idle before it is
	// released.
	IdleBeforeScaleIn time.Duration
	// RequestTimeout (state.request_timeout) is the timeout of a request to the state service.
	RequestTimeout time.Duration

	// QuotaEscrow (quota.escrow) enables the division of the teams' limits among the shards.
	QuotaEscrow bool
	// QuotaTransferInterval (quota.transfer_interval) is the minimum time between two changes
	// of allocations by this process.
	QuotaTransferInterval time.Duration
	// QuotaAudit (quota.audit) is the directory of the audit log of admissions; empty: no log is
	// written.
	QuotaAudit string
}

// DefaultTuning returns the values that apply without a properties file.
func DefaultTuning() Tuning {
	return Tuning{
		StateLease:          3 * time.Second,
		MaxMissedHeartbeats: 3,
		OfferWait:           300 * time.Millisecond,
		StartsPerResponse:   64,
		StateRateShare:      0.8,
		IdleBeforeScaleIn:   30 * time.Second,
		RequestTimeout:      1500 * time.Millisecond,

		QuotaTransferInterval: 250 * time.Millisecond,
	}
}

// LoadTuning reads a properties file. Properties that it lacks have their defaults. See
// ParseTuning for its errors; in addition, quota.audit must be an existing directory.
func LoadTuning(path string) (Tuning, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, fmt.Errorf("reading properties: %w", err)
	}
	t, err := ParseTuning(string(text))
	if err != nil || t.QuotaAudit == "" {
		return t, err
	}
	if info, err := os.Stat(t.QuotaAudit); err != nil || !info.IsDir() {
		return Tuning{}, propertyError("quota.audit", fmt.Sprintf("is not a directory: %q", t.QuotaAudit))
	}
	return t, nil
}

// ParseTuning parses properties. Those that text lacks have their defaults. An error that
// concerns a property wraps a FieldError. An unknown key is an error, since it is most likely
// misspelled.
func ParseTuning(text string) (Tuning, error) {
	p, err := properties.LoadString(text)
	if err != nil {
		return Tuning{}, fmt.Errorf("reading properties: %w", err)
	}
	t := DefaultTuning()
	parsers := t.propertyParsers()
	for _, key := range p.Keys() {
		value, _ := p.Get(key)
		parse, known := parsers[key]
		if !known {
			return Tuning{}, fmt.Errorf("properties: %w", &FieldError{Path: key, Text: "unknown key " + key})
		}
		if err := parse(value); err != nil {
			return Tuning{}, propertyError(key, fmt.Sprintf("%v: %q", err, value))
		}
	}
	return t, t.check()
}

// propertyError returns an error that wraps a FieldError of a property.
func propertyError(key, problem string) error {
	return fmt.Errorf("properties: %w", fieldError(key, problem))
}

// propertyParser parses the value of a property and stores it. Its error states which values are
// valid.
type propertyParser func(value string) error

// propertyParsers returns the parsers of all properties, by key. They store the values in t.
func (t *Tuning) propertyParsers() map[string]propertyParser {
	return map[string]propertyParser{
		"state.lease":             durationParser(&t.StateLease, time.Second, 10*time.Minute),
		"state.request_timeout":   durationParser(&t.RequestTimeout, 100*time.Millisecond, time.Minute),
		"loss.silence_reports":    numberParser(&t.MaxMissedHeartbeats, 1, 100),
		"placement.offer_wait":    durationParser(&t.OfferWait, 10*time.Millisecond, 2*time.Second),
		"bookkeeping.write_share": numberParser(&t.StateRateShare, 0.05, 1),
		"renting.idle_return":     durationParser(&t.IdleBeforeScaleIn, 0, 24*time.Hour),

		"placement.starts_per_reply": countParser(&t.StartsPerResponse, 1, 500),

		"quota.escrow":            booleanParser(&t.QuotaEscrow),
		"quota.transfer_interval": durationParser(&t.QuotaTransferInterval, 100*time.Millisecond, 5*time.Second),
		"quota.audit":             textParser(&t.QuotaAudit),
	}
}

// durationParser parses a duration such as 1.5s, from lower to upper.
func durationParser(target *time.Duration, lower, upper time.Duration) propertyParser {
	return func(value string) error {
		v, err := time.ParseDuration(value)
		if err != nil || v < lower || v > upper {
			return fmt.Errorf("must be a duration from %v to %v", lower, upper)
		}
		*target = v
		return nil
	}
}

// numberParser parses a decimal number from lower to upper.
func numberParser(target *float64, lower, upper float64) propertyParser {
	return func(value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < lower || v > upper {
			return fmt.Errorf("must be a number from %v to %v", lower, upper)
		}
		*target = v
		return nil
	}
}

// countParser parses an integer from lower to upper.
func countParser(target *int, lower, upper int) propertyParser {
	return func(value string) error {
		v, err := strconv.Atoi(value)
		if err != nil || v < lower || v > upper {
			return fmt.Errorf("must be a count from %d to %d", lower, upper)
		}
		*target = v
		return nil
	}
}

// booleanParser parses true or false.
func booleanParser(target *bool) propertyParser {
	return func(value string) error {
		v, err := strconv.ParseBool(value)
		if err != nil {
			return errors.New("must be true or false")
		}
		*target = v
		return nil
	}
}

// textParser accepts any text.
func textParser(target *string) propertyParser {
	return func(value string) error {
		*target = value
		return nil
	}
}

// check returns an error if properties contradict each other.
func (t *Tuning) check() error {
	if t.QuotaAudit != "" && !t.QuotaEscrow {
		return propertyError("quota.audit", "has nothing to record without quota.escrow")
	}
	return nil
}
