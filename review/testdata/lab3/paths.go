package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
)

// serverList is the key at which the holder publishes the registrations of servers.
const serverList = "cluster/entry-servers"

// paths are the paths of one entry to the servers. On one machine, all processes reach a server
// at the same address, so a path could not be cut for one of them. The entry therefore reaches
// the store through a translation of addresses: registrations name a proxy of this entry instead
// of the server behind it, and are unchanged otherwise.
type paths struct {
	ip      string
	storeAt string

	mu      sync.Mutex
	proxies map[string]*proxy
}

// newPaths returns the paths of an entry, with proxies at a loopback address.
func newPaths(ip, storeAt string) *paths {
	p := &paths{ip: ip, proxies: map[string]*proxy{}}
	target, err := url.Parse("http://" + storeAt)
	if err != nil {
		giveUp("%v", err)
	}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ModifyResponse = p.translate
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	p.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: forward}).Serve(listener) }()
	return p
}

// address returns the address at which the entry reaches a server.
func (p *paths) address(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies[server] == nil {
		p.proxies[server] = newProxy(p.ip, server)
	}
	return p.proxies[server].address
}

// cut cuts all paths: connections are reset and new ones refused.
func (p *paths) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, path := range p.proxies {
		path.cut()
	}
}

// translate replaces the addresses of servers in a response of the store.
func (p *paths) translate(response *http.Response) error {
	if response.StatusCode != http.StatusOK || response.Request.Method != http.MethodGet {
		return nil
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var body map[string]any
	if err := decoder.Decode(&body); err != nil {
		return err
	}
	p.translateItem(body)
	for _, name := range []string{"Items", "events"} {
		list, _ := body[name].([]any)
		for _, item := range list {
			p.translateItem(item.(map[string]any))
		}
	}
	if data, err = json.Marshal(body); err != nil {
		return err
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	response.Header.Set("Content-Length", strconv.Itoa(len(data)))
	return nil
}

func (p *paths) translateItem(item map[string]any) {
	key, _ := item["Key"].(string)
	text, _ := item["Value"].(string)
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(value) == 0 {
		return
	}
	switch {
	case strings.HasPrefix(key, "servers/"):
		value = p.translateEntry(value)
	case key == serverList:
		var list map[string][]byte
		if json.Unmarshal(value, &list) != nil {
			return
		}
		for name, entry := range list {
			list[name] = p.translateEntry(entry)
		}
		value, _ = json.Marshal(list)
	default:
		return
	}
	item["Value"] = base64.StdEncoding.EncodeToString(value)
}

func (p *paths) translateEntry(value []byte) []byte {
	var entry map[string]any
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	if decoder.Decode(&entry) != nil {
		return value
	}
	if server, ok := entry["Address"].(string); ok {
		entry["Address"] = p.address(server)
	}
	out, _ := json.Marshal(entry)
	return out
}
