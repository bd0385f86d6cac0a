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

// Tuning is the operators' own settings.
type Tuning struct {
	StateLease        time.Duration // state.lease
	SilenceHeartbeats float64       // loss.silence_reports
	OfferWait         time.Duration // placement.offer_wait
	StartsPerResponse int           // placement.starts_per_reply
	WriteShare        float64       // bookkeeping.write_share
	IdleBeforeScaleIn time.Duration // renting.idle_return
	RequestTimeout    time.Duration // state.request_timeout

	QuotaEscrow           bool          // quota.escrow
	QuotaTransferInterval time.Duration // quota.transfer_interval
	QuotaAudit            string        // quota.audit: a directory; empty: no audit is kept
}

// DefaultTuning is what holds without a properties file.
func DefaultTuning() Tuning {
	return Tuning{
		StateLease:        3 * time.Second,
		SilenceHeartbeats: 3,
		OfferWait:         300 * time.Millisecond,
		StartsPerResponse: 64,
		WriteShare:        0.8,
		IdleBeforeScaleIn: 30 * time.Second,
		RequestTimeout:    1500 * time.Millisecond,

		QuotaTransferInterval: 250 * time.Millisecond,
	}
}

// LoadTuning reads a properties file over the defaults.
func LoadTuning(path string) (Tuning, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, fmt.Errorf("reading properties: %w", err)
	}
	t, err := ParseTuning(string(b))
	if err != nil || t.QuotaAudit == "" {
		return t, err
	}
	if info, err := os.Stat(t.QuotaAudit); err != nil || !info.IsDir() {
		return Tuning{}, errors.New("properties: quota.audit is not a directory")
	}
	return t, nil
}

// ParseTuning reads properties over the defaults. A key that is not known is
// an error, since it is most likely a slip of the pen.
func ParseTuning(text string) (Tuning, error) {
	p, err := properties.LoadString(text)
	if err != nil {
		return Tuning{}, fmt.Errorf("reading properties: %w", err)
	}
	t := DefaultTuning()
	durations := map[string]struct {
		to       *time.Duration
		min, max time.Duration
	}{
		"state.lease":           {&t.StateLease, time.Second, 10 * time.Minute},
		"state.request_timeout": {&t.RequestTimeout, 100 * time.Millisecond, time.Minute},
		"placement.offer_wait":  {&t.OfferWait, 10 * time.Millisecond, 2 * time.Second},
		"renting.idle_return":   {&t.IdleBeforeScaleIn, 0, 24 * time.Hour},

		"quota.transfer_interval": {&t.QuotaTransferInterval, 100 * time.Millisecond, 5 * time.Second},
	}
	numbers := map[string]struct {
		to       *float64
		min, max float64
	}{
		"loss.silence_reports":    {&t.SilenceHeartbeats, 1, 100},
		"bookkeeping.write_share": {&t.WriteShare, 0.05, 1},
	}
	for _, key := range p.Keys() {
		value, _ := p.Get(key)
		if d, ok := durations[key]; ok {
			v, err := time.ParseDuration(value)
			if err != nil || v < d.min || v > d.max {
				return Tuning{}, fmt.Errorf("properties: %s must be a duration from %v to %v", key, d.min, d.max)
			}
			*d.to = v
		} else if n, ok := numbers[key]; ok {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(v) || v < n.min || v > n.max {
				return Tuning{}, fmt.Errorf("properties: %s must be a number from %v to %v", key, n.min, n.max)
			}
			*n.to = v
		} else if key == "placement.starts_per_reply" {
			v, err := strconv.Atoi(value)
			if err != nil || v < 1 || v > 500 {
				return Tuning{}, fmt.Errorf("properties: %s must be a count from 1 to 500", key)
			}
			t.StartsPerResponse = v
		} else if key == "quota.escrow" {
			v, err := strconv.ParseBool(value)
			if err != nil {
				return Tuning{}, fmt.Errorf("properties: %s must be true or false", key)
			}
			t.QuotaEscrow = v
		} else if key == "quota.audit" {
			t.QuotaAudit = value
		} else {
			return Tuning{}, fmt.Errorf("properties: unknown key %s", key)
		}
	}
	return t, t.check()
}

// check tells which properties contradict each other.
func (t *Tuning) check() error {
	if t.QuotaAudit != "" && !t.QuotaEscrow {
		return errors.New("properties: quota.audit has nothing to record without quota.escrow")
	}
	return nil
}
