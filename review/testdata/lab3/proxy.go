package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy passes connections on. It can end the watches of a prefix that wait, and cut a path.
type proxy struct {
	address, target string
	listener        net.Listener

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is a connection through a proxy.
type proxied struct {
	client, server net.Conn
	// request is the first line of the last request.
	request []byte
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

// forward copies bytes and notes the first lines of requests.
func (p *proxy) forward(c *proxied, from, to net.Conn, requests bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && requests {
			if line, _, found := bytes.Cut(buffer[:n], []byte("\r\n")); found && bytes.HasSuffix(line, []byte("HTTP/1.1")) {
				p.mu.Lock()
				c.request = bytes.Clone(line)
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

// cutWatches ends the waiting watches of a prefix, written as in a query, and returns how many.
func (p *proxy) cutWatches(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if bytes.Contains(c.request, []byte("/api/kv-watch?Prefix="+prefix+"&")) {
			_, _ = c.client.Close(), c.server.Close()
			n++
		}
	}
	return n
}
