package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
)

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
