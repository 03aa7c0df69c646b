// Command lab2 starts the programs of the deploy file as processes on loopback, with stand-ins
// of the platform, the servers and the clients around them, and plays one case of the review.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// Ports of each machine, as in the settings of a small deployment.
const (
	frontPort     = 8405
	readyPort     = 8406
	directoryPort = 8404
	platformPort  = 8408
	host          = "ficu95.example"
	apiKey        = "2b9wu3fexd9dnn2ctnfz"
)

// machine is one machine of the deployment with its process.
type machine struct {
	name, role, zone string
	ip               string
	memoryMB         int
	settings         string

	mu       sync.Mutex
	process  *os.Process
	stopped  bool
	ends     int // how often the process ended by itself or for its memory
	peakMB   int
	restarts int
}

type lab struct {
	net      string
	dir      string
	out      *os.File
	outMu    sync.Mutex
	begun    time.Time
	store    *store
	machines []*machine
	workers  []*worker
	trouble  bool

	runMu sync.Mutex
	// runs counts the runs of each request, begunAt is when its last one began, and whole
	// says whose whole output a server has sent.
	runs    map[string]int
	begunAt map[string]time.Time
	whole   map[string]bool
}

func newLab(record string) *lab {
	l := &lab{begun: time.Now(), runs: map[string]int{}, begunAt: map[string]time.Time{}, whole: map[string]bool{}, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	l.out = out
	l.dir, err = os.MkdirTemp("", "review-lab2-")
	l.must(err)
	for range 50 { // a part of the loopback range in which nothing listens
		l.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(100), 1+rand.IntN(250))
		probe, err := net.Listen("tcp4", l.address(1, frontPort))
		if err == nil {
			_ = probe.Close()
			return l
		}
	}
	l.fail("no free part of the loopback range")
	return nil
}

func (l *lab) address(n, port int) string { return fmt.Sprintf("%s.%d:%d", l.net, n, port) }

// record writes a line to record.txt.
func (l *lab) record(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(l.begun).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	l.outMu.Lock()
	defer l.outMu.Unlock()
	fmt.Fprintln(l.out, b.String())
}

func (l *lab) countRun(id string) {
	l.runMu.Lock()
	defer l.runMu.Unlock()
	l.runs[id]++
	l.begunAt[id] = time.Now()
}

func (l *lab) finished(id string) {
	l.record("run-whole", "id", id)
	l.runMu.Lock()
	defer l.runMu.Unlock()
	l.whole[id] = true
}

func (l *lab) runsOf(id string) int {
	l.runMu.Lock()
	defer l.runMu.Unlock()
	return l.runs[id]
}

func (l *lab) must(err error) {
	if err != nil {
		l.fail(err.Error())
	}
}

// fail ends a case that cannot run.
func (l *lab) fail(reason string) {
	fmt.Fprintln(os.Stderr, "cannot run:", reason)
	l.record("cannot-run", "reason", strconv.Quote(reason))
	l.finish(cannot)
}

// finish ends all processes and exits.
func (l *lab) finish(code int) {
	for _, m := range l.machines {
		m.kill()
	}
	l.record("end", "code", code)
	_ = l.out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
	os.Exit(code)
}

// verdict ends a case.
func (l *lab) verdict(isBroken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	l.record("verdict", "broken", isBroken, "text", strconv.Quote(text))
	if isBroken {
		l.finish(broken)
	}
	l.finish(held)
}

// addMachine adds a machine of a class, front or store, and starts its process.
func (l *lab) addMachine(class, zone string, memoryMB int) *machine {
	n := len(l.machines) + 2
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", l.net, n), memoryMB: memoryMB, role: "entry"}
	if class == "store" {
		m.role = "scheduler"
	}
	storeAddress := l.address(100+n, platformPort)
	l.must(l.store.listen(m.name, storeAddress))
	lines := []string{
		"NodeName=" + m.name, "Role=" + m.role, "MachineClass=" + class, "Ip=" + m.ip, "Zone=" + zone, "Region=almaty",
		"Zones.almaty-north=almaty", "Zones.almaty-east=almaty", "InternalPorts=7660,7675", "Seeds=", "Bootstrap=true",
		"InTolerance=" + strconv.FormatBool(class == "store"), "Limits.CpuShare=0.8", "Limits.Cores=1", "Limits.MemoryMb=" + strconv.Itoa(memoryMB),
		"Limits.MaxFds=4100", "Limits.LinkMbps=600.0", "Discovery=platform", "Entry=directory", "HeartbeatMs=1200",
		"FaultTolerance.Machines=1", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4.3",
		"Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RequireFence=true", "Bounds.LeaseMs=3000",
		"Bounds.UsageWindowS=5", "Bounds.UsageLateS=10", "Bounds.RecoverS=12", "Bounds.FinishS=10", "Bounds.StatusS=120", "Bounds.CancelMs=3000",
		"Bounds.SettleMs=1000", "Bounds.ttl_max_s=5", "Platform.Address=" + storeAddress, "Platform.form=kv", "Platform.WritesPerS=400",
		"Platform.ReadsPerS=2000", "Platform.HistoryS=20", "Platform.ValueBytes=1048576", "Platform.TtlMinMs=1000",
		"CloudApi.Address=" + l.address(99, platformPort), "CloudApi.Duties=usage,autoscale", "CloudApi.DutiesPerS=50.0",
	}
	if class == "front" {
		lines = append(lines, "Serves=front,directory", fmt.Sprintf("Listen.Front=%s:%d", m.ip, frontPort),
			fmt.Sprintf("Listen.Ready=%s:%d", m.ip, readyPort), fmt.Sprintf("Listen.Directory=%s:%d", m.ip, directoryPort))
	} else {
		lines = append(lines, "Serves=store")
	}
	m.settings = filepath.Join(l.dir, m.name+".conf")
	l.must(os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	l.machines = append(l.machines, m)
	l.start(m)
	return m
}

// start starts the process of a machine with the command of the deploy file. The platform
// starts it again after a short delay when it ends, and kills it if it uses more memory than
// its machine has.
func (l *lab) start(m *machine) {
	port := "9464/metrics"
	if m.role == "scheduler" {
		port = "9465/metrics"
	}
	command := exec.Command("target/cactusspoke", m.role, "--metrics", port)
	command.Env = []string{"CACTUSSPOKE_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	log, err := os.OpenFile(filepath.Join(l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	l.must(err)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.must(command.Start())
	m.mu.Lock()
	m.process = command.Process
	if m.stopped {
		_ = command.Process.Kill()
	}
	m.mu.Unlock()
	l.record("process-started", "machine", m.name)
	ended := make(chan struct{})
	go l.watchMemory(m, command.Process, ended)
	go func() {
		err := command.Wait()
		close(ended)
		_ = log.Close()
		m.mu.Lock()
		stopped := m.stopped
		if !stopped {
			m.ends++
		}
		m.mu.Unlock()
		l.record("process-ended", "machine", m.name, "state", strconv.Quote(fmt.Sprint(err)), "by-the-test", stopped)
		if !stopped {
			time.Sleep(500 * time.Millisecond)
			m.mu.Lock()
			stopped = m.stopped
			m.mu.Unlock()
			if !stopped {
				l.start(m)
			}
		}
	}()
}

// watchMemory kills a process that uses more than the memory of its machine, as the platform
// does.
func (l *lab) watchMemory(m *machine, p *os.Process, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMB(p.Pid)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, used)
		m.mu.Unlock()
		if used > m.memoryMB {
			l.record("memory-over-limit", "machine", m.name, "used-mb", used, "limit-mb", m.memoryMB)
			_ = p.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// kill ends the process of a machine for good.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.process != nil {
		_ = m.process.Kill()
	}
}

func (m *machine) endsAndPeak() (int, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends, m.peakMB
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// holder returns the machine that holds the duty; nil if there is none.
func (l *lab) holder() *machine {
	name, _, _ := strings.Cut(l.store.value("cluster/duty/scheduler"), " ")
	for _, m := range l.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// waitFor waits until a condition holds.
func (l *lab) waitFor(what string, limit time.Duration, condition func() bool) {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			l.fail("timed out: " + what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready waits until all entry instances are ready and a scheduler holds the duty.
func (l *lab) ready() {
	for _, m := range l.machines {
		if m.role != "entry" {
			continue
		}
		l.waitFor("readiness of "+m.name, 20*time.Second, func() bool {
			client := http.Client{Timeout: time.Second}
			response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, readyPort))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	l.waitFor("a holder of the duty", 20*time.Second, func() bool { return l.holder() != nil })
	time.Sleep(3 * time.Second)
	l.record("ready")
}

// serveCloud accepts usage reports and orders of servers.
func (l *lab) serveCloud() {
	listener, err := net.Listen("tcp4", l.address(99, platformPort))
	l.must(err)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusOK)
		}))
	}()
}

// reply is the answer to a client attempt; status 0 means that there was none.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// call sends one client attempt on a new connection.
func (l *lab) call(m *machine, method, path, id string, deadline time.Duration, body []byte) reply {
	request, err := http.NewRequest(method, "http://"+m.front()+path, bytes.NewReader(body))
	l.must(err)
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if id != "" {
		request.Header.Set("X-Attempt-Id", id)
	}
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{response.StatusCode, response.Header, data}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobItem is an item of a batch job.
type jobItem struct {
	id, path, group string
	body            []byte
	tokens          int
	expectVersion   int    // the version that its header names; 0 if it has none
	reward          string // the id of its reward call; empty if there is none
}

// jobBody returns the body with which a job is submitted.
func jobBody(step, minVersion, desired int, items []jobItem) []byte {
	list := make([]map[string]any, 0, len(items))
	for _, i := range items {
		entry := map[string]any{
			"Id": i.id, "Path": i.path, "GroupId": i.group, "TokenCount": i.tokens, "Body": base64.StdEncoding.EncodeToString(i.body),
			"Headers": map[string]string{"X-Model": "daka510000", "X-Token-Counts": fmt.Sprintf("540,%d", i.tokens-540), "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
		}
		if i.expectVersion > 0 {
			entry["Headers"].(map[string]string)["X-Expect-Version"] = strconv.Itoa(i.expectVersion)
		}
		if i.reward != "" {
			entry["Scorer"] = map[string]any{"Id": i.reward, "Host": host, "Path": "/pufi791/score", "Body": base64.StdEncoding.EncodeToString([]byte("score it"))}
		}
		list = append(list, entry)
	}
	data, err := json.Marshal(map[string]any{"TrainStep": step, "Model": "daka510000", "MinVersion": minVersion, "Desired": desired, "Items": list})
	if err != nil {
		panic(err)
	}
	return data
}

// result is a result of an item.
type result struct {
	ID     string `json:"Id"`
	State  string `json:"State"`
	Output string `json:"Output"`
}

// results reads all results of a job; ok is false if it cannot be read now.
func (l *lab) results(m *machine, job string) (list []result, ok bool) {
	for {
		r := l.call(m, http.MethodGet, "/api/lots/"+job+"?After="+strconv.Itoa(len(list)), "", 3*time.Second, nil)
		var page struct {
			Total   int
			Results []result
		}
		if r.status != http.StatusOK || json.Unmarshal(r.body, &page) != nil {
			return list, false
		}
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= page.Total {
			return list, true
		}
	}
}

// configure writes the operator's first configuration: a batch route to the engines, plain
// routes whose requests may run only once, and one for reward calls.
func (l *lab) configure() {
	l.store.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []map[string]any{
			{"Name": "r-batch", "Host": host, "Prefix": "/pule252/", "Kind": "rollout", "TimeoutMs": 10000, "GoalMs": 400, "Priority": 0, "Service": "huvo11a", "MaxAttempts": 3, "DueMs": 7500, "RetainS": 120},
			{"Name": "r-score", "Host": host, "Prefix": "/pufi791/", "Kind": "safe", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "wuno96b", "MaxAttempts": 4, "Public": true},
			{"Name": "r-book", "Host": host, "Prefix": "/lohu930/", "Kind": "unsafe", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "wuno96b", "MaxAttempts": 4},
			{"Name": "r-book2", "Host": host, "Prefix": "/lohu931/", "Kind": "unsafe", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "wuno97c", "MaxAttempts": 4},
			{"Name": "r-book3", "Host": host, "Prefix": "/lohu932/", "Kind": "unsafe", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "wuno98d", "MaxAttempts": 4},
		},
		"Services": []map[string]any{
			{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 140, "Engine": map[string]any{"Slots": 8, "KvCapacity": 110995, "Models": []map[string]any{{"Name": "daka510000"}}}},
			{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 100},
			{"Name": "wuno97c", "HealthPath": "/health", "MaxConns": 100},
			{"Name": "wuno98d", "HealthPath": "/health", "MaxConns": 100},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "huka270", "ApiKeys": []string{apiKey}}},
	})
	l.store.put("op/version/daka510000", map[string]any{"Model": "daka510000", "Version": 2})
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(cannot)
	}
	play, ok := allCases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannot)
	}
	l := newLab(os.Args[2])
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		l.fail("ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { l.fail("the case took too long") })
	play(l)
}
