// Package settings defines the two files that configure a controller: the platform's settings
// (TOML) and the operators' properties (Java-style). It reads them, applies the defaults, and
// checks that values are present and within sensible bounds.
//
// What Load and LoadTuning return is guaranteed to have passed these checks. An error names the
// invalid field and its value in one line. The package never writes a file, and nothing in it
// depends on the state of a cluster.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller, with the IP address and port of its mesh listener.
type Peer struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`
	Address string `toml:"address"`
}

// Settings contains the platform's settings for a deployment. Fields have the units of the file:
// names that end in S are in seconds, in Ms in milliseconds, in KB in 1024 bytes, in MB in 1024²
// bytes.
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

// Team is a team of users with its guarantee (CPUs, GPUs) and its limit (CPUsMax, GPUsMax). A
// limit of 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective of the users for a class of jobs. Kind determines which
// of the other fields apply.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	Share          float64 `toml:"share"`
	DeadlineFactor float64 `toml:"times"` // multiple of the time from submission to deadline
	WithinS        float64 `toml:"within_s"`
}

// Workers contains the durations of the protocol between machines and controllers.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`  // a machine without a response for this long ends its tasks
	CancelS            float64 `toml:"cancel_s"` // time within which a cancelled task must end
}

// State contains the limits of the state service: requests and writes per second, the size of a
// value, and the number of conditions and changes of a transaction together.
type State struct {
	RPS      float64   `toml:"rps"`
	WriteRPS float64   `toml:"write_rps"`
	ValueKB  float64   `toml:"value_kb"`
	TxnOps   int       `toml:"txn_ops"`
	Next     NextState `toml:"next"`
}

// NextState contains limits to which the state service will change at an unknown time, without
// notice. A limit that is nil does not change.
type NextState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Effective returns limits that are safe before and after the change to Next: the smaller of
// each pair.
func (s State) Effective() State {
	next := s.Next
	s.Next = NextState{}
	if next.RPS != nil {
		s.RPS = min(s.RPS, *next.RPS)
	}
	if next.WriteRPS != nil {
		s.WriteRPS = min(s.WriteRPS, *next.WriteRPS)
	}
	if next.ValueKB != nil {
		s.ValueKB = min(s.ValueKB, *next.ValueKB)
	}
	if next.TxnOps != nil {
		s.TxnOps = min(s.TxnOps, *next.TxnOps)
	}
	return s
}

// Cloud contains the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // calls per second, of all controllers together
	ListLagS float64 `toml:"list_lag_s"` // maximum age of its machine list
}

// Limits contains the limits of this process: its share of the processor cores, its memory and
// its open sockets.
type Limits struct {
	Cores   float64 `toml:"cores"`
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"`
}

// File is the platform's settings file. Unknown fields are ignored.
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

// Load reads, parses and checks the platform's settings file. See Parse for its errors.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(text)
}

// Parse parses and checks the contents of the platform's settings file. An error that concerns a
// field wraps a FieldError.
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

// decodeError converts an error of the TOML decoder into a FieldError if it names a field.
func decodeError(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) || len(decode.Key()) == 0 {
		return err
	}
	path := strings.Join(decode.Key(), ".")
	return &FieldError{Path: path, Text: fmt.Sprintf("%s: %v", path, err), Err: err}
}
