//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func kindOf(typeName, zone string, spot bool) string {
	if spot {
		return typeName + "/" + zone + "/spot"
	}
	return typeName + "/" + zone + "/ordinary"
}

func (w *world) typeOf(name string) *machineType {
	for i := range w.site.types {
		if w.site.types[i].name == name {
			return &w.site.types[i]
		}
	}
	return nil
}

// addMachine adds a machine that is up after a time.
func (w *world) addMachine(typeName, zone string, spot bool, boot time.Duration) *machine {
	w.nextVM++
	m := &machine{w: w, name: fmt.Sprintf("vm-%06d", w.nextVM), kind: w.typeOf(typeName), zone: zone, spot: spot,
		hiredAt: time.Now(), upAt: time.Now().Add(boot), images: map[string]bool{}, fetches: map[string]time.Time{}}
	w.machines = append(w.machines, m)
	go m.run()
	return m
}

// serveCloud serves the cloud's interface.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	reply := func(status int, v any) {
		rw.WriteHeader(status)
		_, _ = rw.Write(w.codec.Encode(v))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		var types []protocol.MachineType
		for _, t := range w.site.types {
			types = append(types, protocol.MachineType{Name: t.name, CPUs: t.cpus, MemoryGB: t.memGB, CacheGB: t.cacheGB, FetchRate: t.fetchGBPerS,
				Price: t.price, SpotPrice: t.spotPrice, BootS: t.readyS, Zones: t.zones})
		}
		reply(200, protocol.Catalog{Types: types})
	case r.URL.Path == "/hosts/release":
		var names protocol.MachineNames
		if w.codec.Decode(body, &names) != nil {
			reply(400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		for _, name := range names.Machines {
			for _, m := range w.machines {
				if m.name == name && !m.released {
					m.released = true
					m.gone("released by the controllers")
				}
			}
		}
		reply(200, map[string]any{})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		var request protocol.ScaleOutRequest
		t := w.typeOf(request.Type)
		if w.codec.Decode(body, &request) != nil {
			reply(400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		t = w.typeOf(request.Type)
		if t == nil || request.Count < 1 || request.Count > 50 {
			reply(400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		if names, done := w.hires[request.RequestID]; done {
			reply(200, protocol.MachineNames{Machines: names})
			return
		}
		kind, n := kindOf(request.Type, request.Zone, request.Spot), request.Count
		if most, limited := w.capacity[kind]; limited {
			n = min(n, most-w.countKind(kind))
		}
		if n <= 0 {
			w.logf("cloud: %s for %d of %s: no capacity", request.RequestID, request.Count, kind)
			reply(503, protocol.ErrorBody{Error: "no capacity"})
			return
		}
		names := []string{}
		for range n {
			m := w.addMachine(request.Type, request.Zone, request.Spot, time.Duration(w.site.bootS(kind)*float64(time.Second)))
			names = append(names, m.name)
		}
		w.hires[request.RequestID] = names
		w.logf("cloud: %s rents %v of %s", request.RequestID, names, kind)
		reply(200, protocol.MachineNames{Machines: names})
	default:
		limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
		if err != nil {
			limit = 500
		}
		lag := time.Duration(w.site.lagS * float64(time.Second))
		at := time.Now().Add(-lag)
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		sort.Slice(w.machines, func(i, k int) bool { return w.machines[i].name < w.machines[k].name })
		for _, m := range w.machines {
			if m.name <= r.URL.Query().Get("from") || (m.hiredAt.After(at) && !m.initial) || m.unlistedBy(at) {
				continue
			}
			if len(list.Machines) == limit {
				list.More = true
				break
			}
			status := "starting"
			if m.upAt.Before(at) || m.initial {
				status = "running"
			}
			if m.failedBy(at) {
				status = "failed"
			}
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: m.name, Addr: "127.0.0.1:1", Type: m.kind.name, Zone: m.zone, Spot: m.spot,
				Status: status, AgeS: max(0, at.Sub(m.hiredAt).Seconds())})
		}
		reply(200, list)
	}
}

func (w *world) countKind(kind string) int {
	n := 0
	for _, m := range w.machines {
		if kindOf(m.kind.name, m.zone, m.spot) == kind && m.goneAt.IsZero() {
			n++
		}
	}
	return n
}
