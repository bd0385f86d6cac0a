// Package settings reads the file that the platform hands over and the
// operators' own properties, and says in one line what is wrong with them.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`
	Address string `toml:"address"`
}

// Settings are what the platform sets for a deployment.
type Settings struct {
	Zones            []string    `toml:"zones"`
	MaxClockOffsetMs float64     `toml:"clock_off_ms"`
	Teams            []Team      `toml:"teams"`
	Objectives       []Objective `toml:"objectives"`
	Workers          Workers     `toml:"workers"`
	State            State       `toml:"state"`
	Cloud            Cloud       `toml:"cloud"`
	Limits           Limits      `toml:"limits"`
}

// Team has a guarantee and a limit. A limit of 0 is read as none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective repeats an aim of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the workers' constants.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelS            float64 `toml:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64   `toml:"rps"`
	WriteRPS float64   `toml:"write_rps"`
	ValueKB  float64   `toml:"value_kb"`
	TxnOps   int       `toml:"txn_ops"`
	Next     NextState `toml:"next"`
}

// NextState holds the limits that the state service will have from some moment
// on, without notice. What is absent does not change.
type NextState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Effective is the limits that hold before and after that moment: the smaller of both.
func (s State) Effective() State {
	n := s.Next
	s.Next = NextState{}
	if n.RPS != nil {
		s.RPS = min(s.RPS, *n.RPS)
	}
	if n.WriteRPS != nil {
		s.WriteRPS = min(s.WriteRPS, *n.WriteRPS)
	}
	if n.ValueKB != nil {
		s.ValueKB = min(s.ValueKB, *n.ValueKB)
	}
	if n.TxnOps != nil {
		s.TxnOps = min(s.TxnOps, *n.TxnOps)
	}
	return s
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits bounds this process.
type Limits struct {
	Cores   float64 `toml:"cores"`
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"`
}

// File is the platform's file. Fields that it does not know are ignored.
type File struct {
	Member   string `toml:"member"`
	Site     string `toml:"site"`
	APIAddr  string `toml:"api_addr"`
	MeshAddr string `toml:"mesh_addr"`
	Peers    []Peer `toml:"known"`
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Settings Settings `toml:"settings"`
}

// Load reads and checks the platform's file.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks the platform's file from memory.
func Parse(b []byte) (*File, error) {
	var f File
	if err := toml.Unmarshal(b, &f); err != nil {
		if d := (*toml.DecodeError)(nil); errors.As(err, &d) && len(d.Key()) > 0 {
			return nil, fmt.Errorf("settings: %s: %w", strings.Join(d.Key(), "."), err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &f, nil
}

// check tells what is missing or nonsensical in the platform's file.
func (f *File) check() error {
	for _, check := range []func() error{f.checkNames, f.checkAddresses, f.checkPeers, f.Settings.checkNumbers, f.Settings.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) checkNames() error {
	for _, n := range []struct{ name, value string }{
		{"member", f.Member}, {"site", f.Site},
	} {
		if n.value == "" {
			return fmt.Errorf("%s is missing", n.name)
		}
	}
	return nil
}

func (f *File) checkAddresses() error {
	for _, a := range []struct{ name, value string }{
		{"api_addr", f.APIAddr}, {"mesh_addr", f.MeshAddr},
		{"external.cloud", f.External.Cloud}, {"external.state", f.External.State},
	} {
		if err := checkAddress(a.name, a.value); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) checkPeers() error {
	seen := map[string]bool{f.Member: true}
	for i, p := range f.Peers {
		if p.Member == "" || seen[p.Member] {
			return fmt.Errorf("known[%d].member is missing or repeated", i)
		}
		seen[p.Member] = true
		if err := checkAddress(fmt.Sprintf("known[%d].address", i), p.Address); err != nil {
			return err
		}
	}
	return nil
}

// valueOr is a value that may be missing, or what holds then.
func valueOr(v *float64, otherwise float64) float64 {
	if v == nil {
		return otherwise
	}
	return *v
}

func (s *Settings) checkNumbers() error {
	next := &s.State.Next
	nextOps := float64(s.State.TxnOps)
	if next.TxnOps != nil {
		nextOps = float64(*next.TxnOps)
	}
	for _, n := range []struct {
		name     string
		value    float64
		min, max float64
	}{
		{"settings.workers.report_s", s.Workers.HeartbeatIntervalS, 0.01, 3600},
		{"settings.workers.lease_s", s.Workers.LeaseS, 0.01, 86400},
		{"settings.workers.cancel_s", s.Workers.CancelS, 0.01, 86400},
		{"settings.state.rps", s.State.RPS, 1, 1e9},
		{"settings.state.write_rps", s.State.WriteRPS, 1, 1e9},
		{"settings.state.value_kb", s.State.ValueKB, 1, 1e6},
		{"settings.state.txn_ops", float64(s.State.TxnOps), 2, 1e6},
		{"settings.state.next.rps", valueOr(next.RPS, s.State.RPS), 1, 1e9},
		{"settings.state.next.write_rps", valueOr(next.WriteRPS, s.State.WriteRPS), 1, 1e9},
		{"settings.state.next.value_kb", valueOr(next.ValueKB, s.State.ValueKB), 1, 1e6},
		{"settings.state.next.txn_ops", nextOps, 2, 1e6},
		{"settings.cloud.rps", s.Cloud.RPS, 0.1, 1e9},
		{"settings.cloud.list_lag_s", s.Cloud.ListLagS, 0, 3600},
		{"settings.clock_off_ms", s.MaxClockOffsetMs, 0, 1e7},
		{"settings.limits.mem_mb", s.Limits.MemMB, 16, 1e9},
		{"settings.limits.sockets", float64(s.Limits.Sockets), 32, 1e9},
		{"settings.limits.cores", s.Limits.Cores, 0.001, 1e5},
	} {
		if math.IsNaN(n.value) || n.value < n.min || n.value > n.max {
			return fmt.Errorf("%s is missing or out of range", n.name)
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Teams) == 0 {
		return errors.New("settings.teams is missing")
	}
	teams := map[string]bool{}
	for i, t := range s.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("settings.teams[%d].name is missing or repeated", i)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if math.IsNaN(v) || v < 0 {
				return fmt.Errorf("settings.teams[%d] has a negative amount", i)
			}
		}
	}
	return nil
}

func checkAddress(name, v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%s is missing or not host:port", name)
	}
	if n, err := strconv.Atoi(port); net.ParseIP(host) == nil || err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%s is not an IP address with a port", name)
	}
	return nil
}

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
