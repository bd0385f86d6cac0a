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

// Tuning is the operators' own settings, each with its property's key.
type Tuning struct {
	// StateLease (state.lease) is how long this process's lease in the state service lasts.
	StateLease time.Duration
	// MaxMissedHeartbeats (loss.silence_reports) is after how many heartbeat intervals
	// without a heartbeat a machine gets no more tasks.
	MaxMissedHeartbeats float64
	// OfferWait (placement.offer_wait) is how long the response to a heartbeat waits for
	// bindings.
	OfferWait time.Duration
	// StartsPerResponse (placement.starts_per_reply) is how many tasks one response
	// starts at the most.
	StartsPerResponse int
	// StateRateShare (bookkeeping.write_share) is the share of the state service's rates that
	// all controllers together use.
	StateRateShare float64
	// IdleBeforeScaleIn (renting.idle_return) is how long an idle machine is kept.
	IdleBeforeScaleIn time.Duration
	// RequestTimeout (state.request_timeout) is how long a request to the state service
	// may take.
	RequestTimeout time.Duration

	// QuotaEscrow (quota.escrow) divides the teams' limits among the shards.
	QuotaEscrow bool
	// QuotaTransferInterval (quota.transfer_interval) is the least time between two
	// changes of allocations by this process.
	QuotaTransferInterval time.Duration
	// QuotaAudit (quota.audit) is the directory of the history of admissions; empty: none
	// is kept.
	QuotaAudit string
}

// DefaultTuning is what holds without a properties file.
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

// LoadTuning reads a properties file over the defaults. See ParseTuning for its errors.
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

// ParseTuning reads properties over the defaults. An error that concerns a property wraps
// a FieldError. A key that is not known is an error, since it is most likely misspelt.
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

// propertyError is the error of a property whose text begins with its key.
func propertyError(key, problem string) error {
	return fmt.Errorf("properties: %w", fieldError(key, problem))
}

// parser takes a property's value; its error says what the value must be.
type propertyParser func(value string) error

// parsers has every property.
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

// durationParser takes a duration such as 1.5s, within bounds.
func durationParser(to *time.Duration, least, most time.Duration) propertyParser {
	return func(value string) error {
		v, err := time.ParseDuration(value)
		if err != nil || v < least || v > most {
			return fmt.Errorf("must be a duration from %v to %v", least, most)
		}
		*to = v
		return nil
	}
}

// numberParser takes a decimal number, within bounds.
func numberParser(to *float64, least, most float64) propertyParser {
	return func(value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < least || v > most {
			return fmt.Errorf("must be a number from %v to %v", least, most)
		}
		*to = v
		return nil
	}
}

// countParser takes a whole number, within bounds.
func countParser(to *int, least, most int) propertyParser {
	return func(value string) error {
		v, err := strconv.Atoi(value)
		if err != nil || v < least || v > most {
			return fmt.Errorf("must be a count from %d to %d", least, most)
		}
		*to = v
		return nil
	}
}

// booleanParser takes true or false.
func booleanParser(to *bool) propertyParser {
	return func(value string) error {
		v, err := strconv.ParseBool(value)
		if err != nil {
			return errors.New("must be true or false")
		}
		*to = v
		return nil
	}
}

// textParser takes any text.
func textParser(to *string) propertyParser {
	return func(value string) error {
		*to = value
		return nil
	}
}

// check tells which properties contradict each other.
func (t *Tuning) check() error {
	if t.QuotaAudit != "" && !t.QuotaEscrow {
		return propertyError("quota.audit", "has nothing to record without quota.escrow")
	}
	return nil
}
