package node_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/internal/logs"
	"cactusspoke/internal/node"
	"cactusspoke/internal/telemetry"
	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

const (
	host     = "calls.example"
	key      = "key-of-a"
	otherKey = "key-of-b"
	model    = "model-a"
	zone     = "zone-1"
	// dutyKey is the key under which the duty holder registers.
	dutyKey = "cluster/duty/scheduler"
)

// cluster runs entry instances and schedulers against fakes of the platform.
type cluster struct {
	t            testing.TB
	store        *standin.Store
	cloud        *standin.CloudAPI
	network      *standin.Network
	engines      []*standin.BackendServer
	plainServers []*standin.BackendServer
	entries      []*process
	schedulers   []*process
	// jobRetention is that of processes that are started from now on.
	jobRetention time.Duration
	// services maps the name of a service to the fields that replace its defaults.
	services routeOverrides
	// replicaPort is the same at all entry instances, which have addresses of their own.
	replicaPort int
	// configure changes the settings of processes that are started from now on.
	configure func(s *node.Settings)
}

// process is an entry instance or a scheduler that runs inside the test process.
type process struct {
	settings *node.Settings
	// storeListener identifies the address at which the process reaches the fake
	// store, so that a test can fail the store for this process alone.
	storeListener int
	out           *output
	stop          context.CancelFunc
	done          chan struct{}
}

// output collects the log lines of a process.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

func newCluster(t testing.TB, entries, schedulers int) *cluster {
	t.Helper()
	return newClusterIn(t, entries, schedulers, [2]string{zone, zone}, func(*node.Settings) {})
}

// newClusterIn runs a cluster whose backend servers are in two zones, and whose settings
// configure changes.
func newClusterIn(t testing.TB, entries, schedulers int, zones [2]string, configure func(s *node.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, configure: configure, store: standin.NewStore(), cloud: standin.NewCloudAPI(), network: standin.NewNetwork(), jobRetention: time.Minute, replicaPort: freePort(t)}
	t.Cleanup(c.cloud.Close)
	t.Cleanup(c.store.Close)
	for i := range 2 {
		c.engines = append(c.engines, standin.NewBackendServer(c.store, fmt.Sprintf("engine-%d", i), "engines", zones[i], map[string]int64{model: 1}))
		c.plainServers = append(c.plainServers, standin.NewBackendServer(c.store, fmt.Sprintf("plain-%d", i), "plain", zones[i], nil))
		c.network.AddServer(c.engines[i].Address)
		c.network.AddServer(c.plainServers[i].Address)
	}
	for i := range entries {
		c.entries = append(c.entries, c.start(fmt.Sprintf("entry-%d", i), i, true))
	}
	for i := range schedulers {
		c.schedulers = append(c.schedulers, c.start(fmt.Sprintf("scheduler-%d", i), entries+i, false))
	}
	return c
}

// serveConnections registers a server of a service, which has some models, and calls serve for
// each of its connections.
func (c *cluster) serveConnections(id, service string, models map[string]int64, serve func(net.Conn)) {
	c.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	c.network.AddServer(l.Addr().String())
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	list := []map[string]any{}
	for name, version := range models {
		list = append(list, map[string]any{"Name": name, "Version": version})
	}
	c.store.Put(platform.ServersPrefix+id, map[string]any{
		"Service": service, "Address": l.Addr().String(), "Zone": zone, "Version": "v1", "Slots": 8, "State": "ready", "Models": list, "Sequence": 1, "born": 1,
	})
}

// freeAddress returns an address that no other process and no other test uses.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := lab.FreeAddress()
	require.NoError(t, err)
	return address
}

// freePort returns the port of a free address.
func freePort(t testing.TB) int {
	t.Helper()
	_, text, err := net.SplitHostPort(freeAddress(t))
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	return port
}

// onIP returns an address with another IP.
func onIP(ip, address string) string {
	_, port, _ := net.SplitHostPort(address)
	return net.JoinHostPort(ip, port)
}

func (c *cluster) start(name string, storeListener int, entry bool) *process {
	c.t.Helper()
	address, closeStore := c.store.Listen(storeListener)
	s := &node.Settings{
		Name: name, IP: lab.LoopbackIP(storeListener), ReplicaPort: c.replicaPort, FailureDomain: zone, StoreAddress: address, CloudAddress: c.cloud.Address,
		MaxValueBytes:  1 << 20,
		HolderCooldown: time.Second, ShutdownGrace: 3 * time.Second, UsageWindow: time.Second,
		MaxUsageDelay: 10 * time.Second, MaxAddressTTL: time.Second, JobRetention: c.jobRetention, MemoryBytes: 256 << 20, FailureDomains: []string{zone},
	}
	c.configure(s)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{settings: s, storeListener: storeListener, out: &output{}, stop: stop, done: make(chan struct{})}
	log, err := logs.NewAsync("info", logs.NewWriter(p.out))
	require.NoError(c.t, err)
	var run func(context.Context) error
	if entry {
		s.FrontAddress, s.ReadyAddress, s.DirectoryAddress = onIP(s.IP, freeAddress(c.t)), freeAddress(c.t), freeAddress(c.t)
		adapter := platform.Adapter()
		adapter.DialServers = c.network.Dialer(name)
		run = node.NewEntry(s, adapter, telemetry.NewRegistry(), log).Run
	} else {
		run = node.NewScheduler(s, platform.Adapter(), telemetry.NewRegistry(), log).Run
	}
	go func() {
		defer close(p.done)
		_ = run(ctx)
	}()
	c.t.Cleanup(func() {
		stop()
		<-p.done
		closeStore()
		if text := p.out.text(); c.t.Failed() {
			c.t.Logf("the last log lines of %s:\n%s", name, text[max(0, len(text)-maxLoggedBytes):])
		}
	})
	return p
}

// maxLoggedBytes bounds what a failed test prints of the log of each process.
const maxLoggedBytes = 16 << 10

// routeOverrides maps the name of a route to the fields that replace its defaults.
type routeOverrides map[string]map[string]any

// putConfig writes a configuration to the store.
func (c *cluster) putConfig(version int, overrides routeOverrides) {
	all := []map[string]any{
		{"Name": "safe", "Host": host, "Prefix": "/safe/", "Kind": "safe", "TimeoutMs": 900, "GoalMs": 100, "MaxAttempts": 2, "Service": "plain"},
		{"Name": "unsafe", "Host": host, "Prefix": "/unsafe/", "Kind": "unsafe", "TimeoutMs": 900, "GoalMs": 100, "MaxAttempts": 2, "Service": "plain"},
		{"Name": "score", "Host": host, "Prefix": "/score/", "Kind": "safe", "TimeoutMs": 900, "GoalMs": 100, "MaxAttempts": 3, "Service": "plain", "Public": true},
		{"Name": "stream", "Host": host, "Prefix": "/stream/", "Kind": "streaming", "TimeoutMs": 5000, "GoalMs": 100, "MaxAttempts": 1, "Service": "engines"},
		{
			"Name": "jobs", "Host": host, "Prefix": "/jobs/", "Kind": "rollout", "TimeoutMs": 5000, "GoalMs": 500,
			"MaxAttempts": 3, "Service": "engines", "DueMs": 5000, "RetainS": 30,
		},
	}
	for _, r := range all {
		for name, value := range overrides[r["Name"].(string)] {
			r[name] = value
		}
	}
	services := []map[string]any{
		{"Name": "plain", "HealthPath": "/health", "MaxConns": 50},
		{
			"Name": "engines", "HealthPath": "/health", "MaxConns": 50, "Engine": map[string]any{"Models": []map[string]any{{"Name": model}}},
			"Scaling": map[string]any{"Min": 1, "Max": 5, "BootS": 1, "SpotPrice": 0.2, "ZonePrices": map[string]any{zone: 1}},
		},
	}
	for _, s := range services {
		for name, value := range c.services[s["Name"].(string)] {
			s[name] = value
		}
	}
	c.store.Put(platform.ConfigKey, map[string]any{
		"Version": version, "Routes": all,
		"Services": services,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20},
		"Tenants":  []map[string]any{{"Name": "a", "ApiKeys": []string{key}}, {"Name": "b", "ApiKeys": []string{otherKey}}},
	})
}

// waitReady waits until every entry instance reports that it is ready and serves a
// request.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, p := range c.entries {
		c.eventually(func() bool {
			return c.getStatus("http://"+p.settings.ReadyAddress+platform.Paths().Ready) == http.StatusOK
		})
		c.eventually(func() bool {
			return c.send(p, http.MethodPost, "/safe/first", "warm-up", key, nil, nil).status == http.StatusOK
		})
	}
}

func (c *cluster) eventually(done func() bool) {
	c.t.Helper()
	require.Eventually(c.t, done, 10*time.Second, 10*time.Millisecond)
}

func (c *cluster) getStatus(address string) int {
	response, err := http.Get(address)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

type callResult struct {
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
}

// send sends a request to an entry instance.
func (c *cluster) send(p *process, method, path, id, apiKey string, body []byte, headers map[string]string) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.sendContext(ctx, p, method, path, id, apiKey, body, headers)
}

func (c *cluster) sendContext(ctx context.Context, p *process, method, path, id, apiKey string, body []byte, headers map[string]string) callResult {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.settings.FrontAddress+path, bytes.NewReader(body))
	require.NoError(c.t, err)
	request.Host = host
	h := platform.Headers()
	request.Header.Set(h.RequestID, id)
	if apiKey != "" {
		request.Header.Set("Authorization", "Bearer "+apiKey)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err, took: time.Since(started)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, string(data), response.Header, err, time.Since(started)}
}

// jobBody returns the body of a job of n items.
func jobBody(id string, n int, minVersion int64, change func(i int, item map[string]any)) []byte {
	items := []map[string]any{}
	for i := range n {
		item := map[string]any{
			"Id": itemID(id, i), "Path": fmt.Sprintf("/jobs/%s/%d", id, i),
			"Headers": map[string]string{"X-Model": model, "X-Token-Counts": "10,100", platform.Headers().LengthHint: strconv.Itoa(100 + i)},
			"Body":    base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("body %d", i))), "TokenCount": 110, "GroupId": fmt.Sprintf("g%d", i/2),
			"Scorer": map[string]any{"Id": "s-" + itemID(id, i), "Host": host, "Path": "/score/x", "Body": base64.StdEncoding.EncodeToString([]byte("score"))},
		}
		if change != nil {
			change(i, item)
		}
		items = append(items, item)
	}
	data, err := json.Marshal(map[string]any{"TrainStep": 1, "Model": model, "MinVersion": minVersion, "Desired": 1, "Items": items})
	if err != nil {
		panic(err)
	}
	return data
}

func itemID(job string, i int) string { return fmt.Sprintf("%s-i%d", job, i) }

type result struct {
	ID       string  `json:"Id"`
	State    string  `json:"State"`
	Output   string  `json:"Output"`
	Versions []int64 `json:"Versions"`
	Score    string  `json:"Score"`
}

type results struct {
	Total   int      `json:"Total"`
	Next    int      `json:"Next"`
	Results []result `json:"Results"`
}

// readResults returns the results of a job from a position on, and the status.
func (c *cluster) readResults(p *process, id string, after int) (results, int) {
	a := c.send(p, http.MethodGet, platform.Paths().JobResults+url.PathEscape(id)+"?After="+strconv.Itoa(after), id, key, nil,
		map[string]string{platform.Headers().WaitMS: "200"})
	var r results
	if a.status == http.StatusOK {
		require.NoError(c.t, json.Unmarshal([]byte(a.body), &r))
		require.Equal(c.t, after+len(r.Results), r.Next)
	}
	return r, a.status
}

// waitForResults reads a job until all its results are available.
func (c *cluster) waitForResults(p *process, id string) []result {
	c.t.Helper()
	var all []result
	c.eventually(func() bool {
		r, status := c.readResults(p, id, len(all))
		all = append(all, r.Results...)
		return status == http.StatusOK && len(all) == r.Total
	})
	return all
}

// lookupAddresses returns the addresses that an entry instance gives to callers.
func (c *cluster) lookupAddresses(p *process) string {
	response, err := http.Get("http://" + p.settings.DirectoryAddress + platform.Paths().Lookup + "?Name=" + host + "&Zone=" + zone)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"Addresses"`
		TTLS      float64  `json:"TtlS"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil || body.TTLS <= 0 {
		return ""
	}
	return strings.Join(body.Addresses, " ")
}
