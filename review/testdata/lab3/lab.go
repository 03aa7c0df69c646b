// Command lab3 plays the script cases 11 to 15: it starts the programs of the deploy file as
// processes on loopback addresses, with stand-ins for the platform, the servers and the clients,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactusspoke/platform/standin"
)

const (
	host  = "ficu95.example"
	model = "daka510000"
	// tenants is the number of tenants of the site boyau-sched.
	tenants = 8
	// frontMemoryMB and storeMemoryMB are those of the site boyau-sched.
	frontMemoryMB = 284
	storeMemoryMB = 294
)

// zones are those of the site boyau-sched.
var zones = []string{"almaty-north", "almaty-east", "almaty-south"}

// unplayable is the panic value for a case that could not run.
type unplayable struct{ error }

func giveUp(format string, args ...any) { panic(unplayable{fmt.Errorf(format, args...)}) }

// apiKey returns the key of a tenant.
func apiKey(i int) string { return fmt.Sprintf("2b9wu3fexd9dnn2ctnf%d", i%tenants) }

// lab is a small deployment.
type lab struct {
	root, dir string
	trouble   bool
	store     *standin.Store
	cloud     *standin.CloudAPI
	storeAt   string
	network   string
	port      int
	client    *http.Client
	// busy counts the requests that servers run now.
	busy atomic.Int64

	mu        sync.Mutex
	recording *os.File
	startedAt time.Time
	nodes     []*node
	closing   bool
	versions  int64
}

// node is a process of the project under the platform's supervision.
type node struct {
	lab               *lab
	name, ip, zone    string
	role, class       string
	storeAt           string
	memoryMB          int
	mu                sync.Mutex
	command           *exec.Cmd
	starts, overLimit int
	ended             int
	peakBytes         int64
}

func newLab(root, out string) *lab {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		giveUp("%v", err)
	}
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		giveUp("%v", err)
	}
	l := &lab{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), cloud: standin.NewCloudAPI(), recording: file, startedAt: time.Now(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 30 * time.Second},
	}
	l.storeAt, _ = l.store.Listen(0)
	l.findPorts()
	return l
}

// findPorts chooses a loopback network and a range of ports that is free on it.
func (l *lab) findPorts() {
	for range 200 {
		l.network = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		l.port = 21000 + 40*rand.IntN(200)
		free := true
		for port := l.port; free && port < l.port+40; port++ {
			listener, err := net.Listen("tcp4", net.JoinHostPort("0.0.0.0", strconv.Itoa(port)))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return
		}
	}
	giveUp("no free ports")
}

// note adds a line to record.txt.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.recording, "%8.3f "+format+"\n", append([]any{time.Since(l.startedAt).Seconds()}, args...)...)
}

// settings returns the settings file of a node as DEPLOY.md describes it.
func (n *node) settings() string {
	l := n.lab
	lines := []string{
		"NodeName=" + n.name, "Role=" + n.role, "MachineClass=" + n.class, "Ip=" + n.ip, "Zone=" + n.zone, "Region=almaty",
		"Zones.almaty-north=almaty", "Zones.almaty-east=almaty", "Zones.almaty-south=almaty",
		fmt.Sprintf("InternalPorts=%d,%d", l.port+10, l.port+25), "Bootstrap=true", fmt.Sprintf("InTolerance=%v", n.class == "store"),
		"Limits.CpuShare=0.4", "Limits.Cores=1", fmt.Sprintf("Limits.MemoryMb=%d", n.memoryMB), "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=directory", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,recover,samples,stream,engine,batch,tenants,leader,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4.3", "Bounds.DrainMs=2000", "Bounds.GraceS=8",
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.StrictRevoke=false", "Bounds.RevokeMs=5000",
		"Bounds.RequireFence=true", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300", "Bounds.UsageWindowS=5", "Bounds.UsageOff=0.05", "Bounds.UsageLateS=10", "Bounds.RecoverS=12",
		"Bounds.PassMs=120", "Bounds.RetryAfterS=0", "Bounds.FinishS=10", "Bounds.StatusS=120", "Bounds.CancelMs=3000", "Bounds.SettleMs=1000", "Bounds.QuotaExcess=0.1", "Bounds.ttl_max_s=5",
		"Platform.Address=" + n.storeAt, "Platform.form=kv", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000", "Platform.HistoryS=20", "Platform.ValueBytes=1048576", "Platform.TtlMinMs=1000",
		"CloudApi.Address=" + l.cloud.Address, "CloudApi.RatePerS=50.0", "CloudApi.Duties=usage,autoscale", "CloudApi.DutiesPerS=50.0",
	}
	if n.class == "front" {
		lines = append(lines, "Serves=front,directory", "Listen.Front="+n.front(), "Listen.Ready="+n.at(1), "Listen.Directory="+n.at(2))
	} else {
		lines = append(lines, "Serves=store", "DataDir="+filepath.Join(l.dir, n.name))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (n *node) at(offset int) string { return net.JoinHostPort(n.ip, strconv.Itoa(n.lab.port+offset)) }

func (n *node) front() string { return n.at(0) }

// addNode starts a node of a role; storeAt is the address at which it reaches the store.
func (l *lab) addNode(role, storeAt string) *node {
	l.mu.Lock()
	i := len(l.nodes)
	l.mu.Unlock()
	n := &node{lab: l, role: role, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", l.network, 11+i), storeAt: storeAt, class: "front", memoryMB: frontMemoryMB}
	if role == "scheduler" {
		n.class, n.memoryMB = "store", storeMemoryMB
	}
	n.name = fmt.Sprintf("%s-%s-%d", n.class, n.zone, i)
	if err := os.WriteFile(n.path(".conf"), []byte(n.settings()), 0o600); err != nil {
		giveUp("%v", err)
	}
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	n.start()
	return n
}

func (n *node) path(suffix string) string { return filepath.Join(n.lab.dir, n.name+suffix) }

// start starts the process with the command of the deploy file, and restarts it when it ends.
func (n *node) start() {
	metrics := map[string]string{"entry": "9464/metrics", "scheduler": "9465/metrics"}[n.role]
	log, err := os.OpenFile(n.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	command := exec.Command(filepath.Join(n.lab.root, "target", "cactusspoke"), n.role, "--metrics", metrics)
	command.Dir = n.lab.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSSPOKE_NODE_FILE=" + n.path(".conf")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		giveUp("cannot start %s: %v", n.name, err)
	}
	_ = log.Close()
	n.mu.Lock()
	n.command = command
	n.starts++
	n.mu.Unlock()
	n.lab.note("%s: started at %s, pid %d", n.name, n.ip, command.Process.Pid)
	go n.watchMemory(command)
	go func() {
		err := command.Wait()
		n.lab.mu.Lock()
		closing := n.lab.closing
		n.lab.mu.Unlock()
		if closing {
			return
		}
		n.mu.Lock()
		n.ended++
		n.mu.Unlock()
		n.lab.note("%s: ended: %v", n.name, err)
		time.Sleep(500 * time.Millisecond)
		n.lab.mu.Lock()
		closing = n.lab.closing
		n.lab.mu.Unlock()
		if !closing {
			n.start()
		}
	}()
}

// watchMemory does what the platform does: a process that uses more than MemoryMb is killed.
func (n *node) watchMemory(command *exec.Cmd) {
	status := fmt.Sprintf("/proc/%d/status", command.Process.Pid)
	for {
		time.Sleep(10 * time.Millisecond)
		data, err := os.ReadFile(status)
		if err != nil {
			return
		}
		_, rest, found := strings.Cut(string(data), "VmRSS:")
		if !found {
			return // the process has ended
		}
		kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		n.mu.Lock()
		n.peakBytes = max(n.peakBytes, kb<<10)
		over := kb<<10 > int64(n.memoryMB)<<20
		if over {
			n.overLimit++
		}
		n.mu.Unlock()
		if over {
			n.lab.note("%s: uses %d MiB of %d, killed as DEPLOY.md says", n.name, kb>>10, n.memoryMB)
			_ = command.Process.Kill()
			return
		}
	}
}

// pid returns the id of the running process.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

func (n *node) counts() (starts, overLimit int, peak int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts, n.overLimit, n.peakBytes
}

// close ends all processes.
func (l *lab) close() {
	l.mu.Lock()
	l.closing = true
	nodes := l.nodes
	l.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		command := n.command
		n.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
		}
	}
	time.Sleep(300 * time.Millisecond)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(l.dir, keep)
	} else {
		_ = os.RemoveAll(l.dir)
	}
	_ = l.recording.Close()
}

// route is a route of the configuration.
type route map[string]any

func routeOf(name, prefix, kind, service string, more route) route {
	r := route{"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 10000, "GoalMs": 400, "Priority": 1, "Service": service, "MaxAttempts": 3, "Public": false}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes a configuration as the operator does.
func (l *lab) configure(routes []route, engines, plain []string) {
	l.versions++
	services := []map[string]any{}
	for _, s := range engines {
		services = append(services, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 140, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 8, "KvCapacity": 110995, "Models": []map[string]any{{"Name": model}}}})
	}
	for _, s := range plain {
		services = append(services, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false})
	}
	owners := []map[string]any{}
	for i := range tenants {
		owners = append(owners, map[string]any{"Name": fmt.Sprintf("huka27%d", i), "ApiKeys": []string{apiKey(i)}, "Priority": 1})
	}
	l.store.Put("op/config", map[string]any{
		"Version": l.versions, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": owners,
	})
	l.note("operator: configuration %d is acknowledged", l.versions)
}

// awaitReady waits until nodes with a readiness address answer 200.
func (l *lab) awaitReady(nodes ...*node) {
	for _, n := range nodes {
		l.await(fmt.Sprintf("%s is ready", n.name), 20*time.Second, func() bool {
			response, err := l.client.Get("http://" + n.at(1) + "/api/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// await waits until a condition of the set-up holds.
func (l *lab) await(what string, limit time.Duration, done func() bool) {
	for deadline := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			giveUp("waited %v in vain: %s", limit, what)
		}
	}
	l.note("%s", what)
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d", a.status)
}

// call sends a request of a client of the first tenant on a new connection.
func (l *lab) call(n *node, method, path, id string, body []byte, header map[string]string) answer {
	return l.callAs(0, n, method, path, id, body, header)
}

// callAs sends a request of a client of a tenant on a new connection.
func (l *lab) callAs(owner int, n *node, method, path, id string, body []byte, header map[string]string) answer {
	request, err := http.NewRequest(method, "http://"+n.front()+path, bytes.NewReader(body))
	if err != nil {
		giveUp("%v", err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey(owner))
	request.Header.Set("X-Attempt-Id", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, data, err}
}

// item is an item of a batch job.
type item struct {
	ID         string            `json:"Id"`
	Path       string            `json:"Path"`
	Headers    map[string]string `json:"Headers"`
	Body       []byte            `json:"Body"`
	TokenCount int               `json:"TokenCount"`
	GroupID    string            `json:"GroupId"`
}

func newItem(id, path, group string, body []byte) item {
	return item{id, path, map[string]string{"X-Model": model, "X-Token-Counts": "540,4000", "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"}, body, 4540, group}
}

// submit submits a batch job of a tenant and returns the answer.
func (l *lab) submit(owner int, n *node, prefix, id string, step int, items []item) answer {
	body, err := json.Marshal(map[string]any{"TrainStep": step, "Model": model, "MinVersion": 0, "Desired": len(items), "Items": items})
	if err != nil {
		giveUp("%v", err)
	}
	return l.callAs(owner, n, http.MethodPost, prefix+id, id, body, map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "10000"})
}

// result is a result of a batch job.
type result struct {
	ID       string `json:"Id"`
	State    string `json:"State"`
	Output   string `json:"Output"`
	Versions []int64
}

// results reads the results of a tenant's batch job from the start.
func (l *lab) results(owner int, n *node, id string) ([]result, error) {
	var all []result
	for {
		a := l.callAs(owner, n, http.MethodGet, "/api/lots/"+id+"?After="+strconv.Itoa(len(all)), "read-"+id, nil, nil)
		if a.err != nil || a.status != http.StatusOK {
			return all, errors.New(a.String())
		}
		var page struct {
			Total   int
			Results []result
		}
		if err := json.Unmarshal(a.body, &page); err != nil {
			return all, err
		}
		all = append(all, page.Results...)
		if len(page.Results) == 0 || len(all) >= page.Total {
			return all, nil
		}
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE ROOT FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(play func(*lab) bool, root, out string) (code int) {
	var l *lab
	defer func() {
		cause := recover()
		if l != nil {
			defer l.close()
		}
		if cause == nil {
			return
		}
		var u unplayable
		if err, isError := cause.(error); isError && errors.As(err, &u) {
			fmt.Println("could not run:", u)
			if l != nil {
				l.note("could not run: %v", u)
			}
			code = 2
			return
		}
		panic(cause)
	}()
	l = newLab(root, out)
	if play(l) {
		l.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
