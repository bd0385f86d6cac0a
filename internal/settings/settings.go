// Package settings owns the form of the two files that configure a controller: the
// platform's settings (TOML) and the operators' properties (Java-style). It reads them,
// fills in the defaults and checks that values are present and within sensible bounds.
//
// It promises that what Load and LoadTuning return has passed these checks, and that an
// error names the field that is wrong, and its value, in one line. It never changes a
// file, and it decides nothing that depends on a cluster's state.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`
	Address string `toml:"address"`
}

// Settings are what the platform sets for a deployment. Fields keep the file's units: a
// name that ends in S is seconds, in Ms milliseconds, in KB, MB 1024 or 1024² bytes.
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

// Team has a guarantee (CPUs, GPUs) and a limit (CPUsMax, GPUsMax). A limit of 0 is read
// as none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective repeats an aim that the users have for a class of jobs.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	Share          float64 `toml:"share"`
	DeadlineFactor float64 `toml:"times"`
	WithinS        float64 `toml:"within_s"`
}

// Workers holds the workers' constants.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`  // without a response a worker ends its tasks
	CancelS            float64 `toml:"cancel_s"` // within which a cancelled task has to end
}

// State holds the state service's limits: requests and writes a second, the size of a
// value, and the conditions and changes of a transaction together.
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
	ListLagS float64 `toml:"list_lag_s"` // how old its machine list may be
}

// Limits bounds this process: its share of processor cores, its memory and its open
// sockets.
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

// Load reads and checks the platform's file. See Parse for its errors.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(text)
}

// Parse reads and checks the platform's file from memory. An error that concerns a field
// wraps a FieldError.
func Parse(text []byte) (*File, error) {
	var f File
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("settings: %w", decodeError(err))
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &f, nil
}

// decodeError names the field that the TOML decoder could not take, if it says so.
func decodeError(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) || len(decode.Key()) == 0 {
		return err
	}
	path := strings.Join(decode.Key(), ".")
	return &FieldError{Path: path, Text: fmt.Sprintf("%s: %v", path, err), Err: err}
}
