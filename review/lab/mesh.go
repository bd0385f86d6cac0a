//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// modes of a path between two controllers.
const (
	pathOpen   = iota
	pathHold   // packets are held, and delivered in order afterwards
	pathRefuse // connections are refused
)

// meshPath is the network between two controllers: the lower one dials.
type meshPath struct {
	a, b   int
	target string
	mode   atomic.Int32
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

func (l *lab) newMeshPath(a, b int, target string) (*meshPath, string) {
	p := &meshPath{a: a, b: b, target: target, conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, ln.Addr().String()
}

func (p *meshPath) serve(c net.Conn) {
	defer c.Close()
	for p.mode.Load() == pathHold {
		time.Sleep(20 * time.Millisecond)
	}
	if p.mode.Load() == pathRefuse {
		return
	}
	d, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(d, c, done)
	go p.copy(c, d, done)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
}

func (p *meshPath) copy(to, from net.Conn, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for p.mode.Load() == pathHold {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				return
			}
			return
		}
	}
}

// set changes the mode. Refusing also resets what is open.
func (p *meshPath) set(mode int32) {
	p.mode.Store(mode)
	if mode != pathRefuse {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// setPaths changes the paths of one controller, or all with -1.
func (l *lab) setPaths(node int, mode int32) {
	l.record("paths of controller %d: mode %d", node, mode)
	for _, p := range l.paths {
		if node < 0 || p.a == node || p.b == node {
			p.set(mode)
		}
	}
}
