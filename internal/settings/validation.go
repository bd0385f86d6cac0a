package settings

import (
	"fmt"
	"math"
	"net"
	"strconv"
)

const maxPort = 65535

// check returns an error for the first field that is missing or invalid.
func (f *File) check() error {
	for _, check := range []func() error{f.checkNames, f.checkAddresses, f.checkPeers, f.Settings.checkNumbers, f.Settings.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks that the names of the member and its site are present.
func (f *File) checkNames() error {
	for _, name := range []struct{ path, value string }{
		{"member", f.Member}, {"site", f.Site},
	} {
		if name.value == "" {
			return fieldError(name.path, "is missing")
		}
	}
	return nil
}

// checkAddresses checks the addresses on which this controller listens and those of the services
// that it calls.
func (f *File) checkAddresses() error {
	for _, address := range []struct{ path, value string }{
		{"api_addr", f.APIAddr}, {"mesh_addr", f.MeshAddr},
		{"external.cloud", f.External.Cloud}, {"external.state", f.External.State},
	} {
		if err := checkAddress(address.path, address.value); err != nil {
			return err
		}
	}
	return nil
}

// checkPeers checks that the other controllers have distinct names and valid addresses.
func (f *File) checkPeers() error {
	seen := map[string]bool{f.Member: true}
	for i, peer := range f.Peers {
		path := fmt.Sprintf("known[%d]", i)
		if peer.Member == "" || seen[peer.Member] {
			return fieldError(path+".member", fmt.Sprintf("is missing or repeated: %q", peer.Member))
		}
		seen[peer.Member] = true
		if err := checkAddress(path+".address", peer.Address); err != nil {
			return err
		}
	}
	return nil
}

// valueOr returns *value, or fallback if value is nil.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}

// checkNumbers checks that all numbers are present and within sensible bounds.
func (s *Settings) checkNumbers() error {
	next := &s.State.Next
	nextOps := float64(s.State.TxnOps)
	if next.TxnOps != nil {
		nextOps = float64(*next.TxnOps)
	}
	for _, number := range []struct {
		path     string
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
		if math.IsNaN(number.value) || number.value < number.min || number.value > number.max {
			return fieldError(number.path, fmt.Sprintf("is missing or out of range: %v", number.value))
		}
	}
	return nil
}

// checkTeams checks that there is at least one team, that names are distinct and that no amount
// is negative.
func (s *Settings) checkTeams() error {
	if len(s.Teams) == 0 {
		return fieldError("settings.teams", "is missing")
	}
	seen := make(map[string]bool)
	for i, team := range s.Teams {
		path := fmt.Sprintf("settings.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return fieldError(path+".name", fmt.Sprintf("is missing or repeated: %q", team.Name))
		}
		seen[team.Name] = true
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if math.IsNaN(amount) || amount < 0 {
				return fieldError(path, fmt.Sprintf("has a negative amount: %v", amount))
			}
		}
	}
	return nil
}

// checkAddress checks that an address is an IP address with a port; host names are not resolved.
func checkAddress(path, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fieldError(path, fmt.Sprintf("is missing or not host:port: %q", address))
	}
	if n, err := strconv.Atoi(port); net.ParseIP(host) == nil || err != nil || n < 1 || n > maxPort {
		return fieldError(path, fmt.Sprintf("is not an IP address with a port: %q", address))
	}
	return nil
}
