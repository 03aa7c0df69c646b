package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy passes connections on. It can end watches that wait, and cut a path.
type proxy struct {
	address, target string
	listener        net.Listener

	mu         sync.Mutex
	conns      map[*proxied]bool
	watchesCut int
}

// proxied is a connection through a proxy.
type proxied struct {
	client, server net.Conn
	// watchUntil is until when a watch may wait; zero if the last request is none.
	watchUntil time.Time
}

// newProxy returns a proxy on a free port of a loopback address.
func newProxy(ip, target string) *proxy {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		giveUp("%v", err)
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener, conns: map[*proxied]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxied{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(c, client, server, true); done <- struct{}{} }()
	go func() { p.forward(c, server, client, false); done <- struct{}{} }()
	<-done
	_, _ = client.Close(), server.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies bytes and notes whether the last request is a watch.
func (p *proxy) forward(c *proxied, from, to net.Conn, requests bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && requests {
			if line, _, found := bytes.Cut(buffer[:n], []byte("\r\n")); found && bytes.HasSuffix(line, []byte("HTTP/1.1")) {
				until := time.Time{}
				if bytes.Contains(line, []byte("/api/kv-watch?")) {
					until = time.Now().Add(500*time.Millisecond + rand.N(time.Second))
				}
				p.mu.Lock()
				c.watchUntil = until
				p.mu.Unlock()
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut resets the connections and refuses new ones.
func (p *proxy) cut() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.(*net.TCPConn).SetLinger(0)
		_, _ = c.client.Close(), c.server.Close()
	}
}

// limitWatches ends each watch that has waited for one second, with a random deviation of up to
// half of that.
func (p *proxy) limitWatches() {
	for {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		p.mu.Lock()
		for c := range p.conns {
			if !c.watchUntil.IsZero() && now.After(c.watchUntil) {
				_, _ = c.client.Close(), c.server.Close()
				p.watchesCut++
			}
		}
		p.mu.Unlock()
	}
}

// cuts returns how many watches were ended.
func (p *proxy) cuts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchesCut
}
