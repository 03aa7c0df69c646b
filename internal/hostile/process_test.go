package hostile

import (
	"bytes"
	"fmt"
	"io"
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
	"testing"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/platform"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// The machine of the tests and the limits of its requests, lower than those of deployments
// so that a small crowd exceeds them.
const (
	memoryMB       = 128
	maxDescriptors = 360
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	// killFactor times memoryMB is the resident memory at which the process is killed, so
	// that a failing test does not take the memory of the whole machine.
	killFactor = 8
	// responseBytes is the length of the responses to clients that never read them.
	responseBytes = 8 << 20
)

const (
	host = "calls.example"
	key  = "key-of-a"
	zone = "zone-1"
	// model is the model of the engines.
	model = "m"
	// waitTimeout limits every wait. It is not a performance bound.
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// sampleInterval is the time between two measurements of the process.
	sampleInterval = 10 * time.Millisecond
)

var program string

// TestMain builds the program without the race detector, which multiplies its memory.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "cactusspoke-hostile")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "cactusspoke")
	if out, err := exec.Command("go", "build", "-o", program, "cactusspoke/cmd/cactusspoke").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// entry is a `cactusspoke entry` process with stand-ins for the store and the servers.
type entry struct {
	t       *testing.T
	machine machine
	// store and cloud are the addresses of the stand-ins.
	store, cloud string
	// standIn is the stand-in of the store.
	standIn *standin.Store
	// callers, ready, lookup, replicas and metrics are the addresses that it serves.
	callers, ready, lookup, replicas, metrics string

	command *exec.Cmd
	out     *os.File
	exited  chan struct{}
	stop    chan struct{}
	sampled sync.WaitGroup

	peakMemory      atomic.Int64
	peakDescriptors atomic.Int64
	killed          atomic.Bool
}

// machine is what a machine has and the longest body that its configuration allows.
type machine struct {
	memoryMB, maxDescriptors, maxBodyBytes int
	// jobTimeoutMS is the time-out of the route of jobs.
	jobTimeoutMS int
}

// startEntry starts the process on the machine of most tests.
func startEntry(t *testing.T) *entry {
	t.Helper()
	return startEntryOn(t, machine{memoryMB, maxDescriptors, maxBodyBytes, 9000})
}

// startEntryOn starts the process and waits until it serves an ordinary request.
func startEntryOn(t *testing.T, m machine) *entry {
	t.Helper()
	store, cloud := standin.NewStore(), standin.NewCloudAPI()
	storeAddress, closeStore := store.Listen(0)
	t.Cleanup(func() {
		closeStore()
		store.Close()
		cloud.Close()
	})
	e := &entry{t: t, machine: m, store: storeAddress, cloud: cloud.Address, standIn: store}
	putConfig(store, m)
	startServer(t, store)
	e.start("entry")
	require.Eventually(t, e.answers, waitTimeout, pollInterval, "the process does not serve")
	e.sampled.Add(1)
	go e.sample()
	return e
}

// startScheduler starts a `cactusspoke scheduler` process on another machine beside an entry
// process. Only its memory is sampled and whether it lives.
func startScheduler(e *entry, m machine) *entry {
	s := &entry{t: e.t, machine: m, store: e.store, cloud: e.cloud, standIn: e.standIn}
	s.start("scheduler")
	s.sampled.Add(1)
	go s.sample()
	return s
}

// start starts a process with a role.
func (e *entry) start(role string) {
	t := e.t
	t.Helper()
	e.exited, e.stop = make(chan struct{}), make(chan struct{})
	for _, address := range []*string{&e.callers, &e.ready, &e.lookup, &e.replicas, &e.metrics} {
		free, err := lab.FreeAddress()
		require.NoError(t, err)
		*address = free
	}
	folder := t.TempDir()
	settings := filepath.Join(folder, "settings.conf")
	require.NoError(t, os.WriteFile(settings, []byte(e.settings(role+"-0", e.store, e.cloud)), 0o600))
	var err error
	e.out, err = os.Create(filepath.Join(folder, "log"))
	require.NoError(t, err)
	_, metricsPort, _ := net.SplitHostPort(e.metrics)
	e.command = exec.Command(program, role, "--metrics", metricsPort+"/metrics")
	e.command.Env = append(os.Environ(), "CACTUSSPOKE_NODE_FILE="+settings, "GOMAXPROCS=2")
	e.command.Stdout, e.command.Stderr = e.out, e.out
	require.NoError(t, e.command.Start())
	go func() {
		_ = e.command.Wait()
		close(e.exited)
	}()
	t.Cleanup(e.end)
}

func (e *entry) settings(name, store, cloud string) string {
	ip, replicaPort, _ := net.SplitHostPort(e.replicas)
	return strings.Join([]string{
		"NodeName=" + name, "Ip=" + ip, "Zone=" + zone, "Zones." + zone + "=region-1",
		"Listen.Front=" + e.callers, "Listen.Ready=" + e.ready, "Listen.Directory=" + e.lookup,
		"InternalPorts=" + replicaPort + "," + replicaPort,
		"Platform.Address=" + store, "Platform.ValueBytes=1048576", "CloudApi.Address=" + cloud,
		fmt.Sprintf("Limits.MemoryMb=%d", e.machine.memoryMB), fmt.Sprintf("Limits.MaxFds=%d", e.machine.maxDescriptors),
		"Bounds.LeaseMs=3000", "Bounds.GraceS=3", "Bounds.UsageWindowS=5", "Bounds.UsageLateS=10",
		"Bounds.ttl_max_s=5", "Bounds.StatusS=120",
	}, "\n")
}

func putConfig(store *standin.Store, m machine) {
	store.Put(platform.ConfigKey, map[string]any{
		"Version": 1,
		"Routes": []map[string]any{
			{"Name": "safe", "Host": host, "Prefix": "/safe/", "Kind": "safe", "TimeoutMs": 9000, "GoalMs": 500, "MaxAttempts": 2, "Service": "plain"},
			{"Name": "jobs", "Host": host, "Prefix": "/jobs/", "Kind": "rollout", "TimeoutMs": m.jobTimeoutMS, "GoalMs": 500, "MaxAttempts": 2, "Service": "plain", "DueMs": 9000, "RetainS": 600},
			{"Name": "faulty", "Host": host, "Prefix": "/faulty/", "Kind": "safe", "TimeoutMs": 9000, "GoalMs": 500, "MaxAttempts": 2, "Service": "faulty"},
			{"Name": "steps", "Host": host, "Prefix": "/steps/", "Kind": "rollout", "TimeoutMs": m.jobTimeoutMS, "GoalMs": 500, "MaxAttempts": 2, "Service": "engines", "DueMs": 9000, "RetainS": 600},
		},
		"Services": []map[string]any{
			{"Name": "plain", "HealthPath": "/health", "MaxConns": 50},
			{"Name": "faulty", "HealthPath": "/health", "MaxConns": 50},
			{"Name": "engines", "HealthPath": "/health", "MaxConns": 50, "Engine": map[string]any{"Models": []map[string]any{{"Name": model}}}},
		},
		"Limits": map[string]any{
			"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": m.maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
		"Tenants": []map[string]any{{"Name": "a", "ApiKeys": []string{key}}},
	})
}

// startServer starts a plain backend server that discards the bodies of requests. Responses
// to requests below /safe/large are responseBytes long.
func startServer(t *testing.T, store *standin.Store) {
	large := bytes.Repeat([]byte("x"), responseBytes)
	h := platform.Headers()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(h.RequestID)
		w.Header().Set(h.RequestID, id)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(h.Signature, "seal-"+id)
		if strings.HasPrefix(r.URL.Path, "/safe/large") {
			_, _ = w.Write(large)
			return
		}
		_, _ = io.WriteString(w, "answer to "+id)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	store.Put(platform.ServersPrefix+"plain-0", map[string]any{
		"Service": "plain", "Address": l.Addr().String(), "Zone": zone, "Version": standin.DefaultSoftware, "Slots": 64,
		"State": "ready", "Models": []map[string]any{}, "Sequence": 1, "born": 1,
	})
}

// answers reports whether an ordinary request on a new connection is answered with 200.
func (e *entry) answers() bool {
	client := &http.Client{Timeout: waitTimeout / 4, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/safe/ordinary", strings.NewReader("ordinary"))
	require.NoError(e.t, err)
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(platform.Headers().RequestID, "ordinary")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == "answer to ordinary"
}

// sample measures the process until the test ends.
func (e *entry) sample() {
	defer e.sampled.Done()
	for {
		select {
		case <-e.stop:
			return
		case <-e.exited:
			return
		case <-time.After(sampleInterval):
		}
		memory := residentBytes(e.command.Process.Pid)
		e.peakMemory.Store(max(e.peakMemory.Load(), memory))
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.command.Process.Pid))
		e.peakDescriptors.Store(max(e.peakDescriptors.Load(), int64(len(descriptors))))
		if memory > int64(killFactor*e.machine.memoryMB)<<20 {
			e.killed.Store(true)
			_ = e.command.Process.Kill()
			return
		}
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// verify checks that the process lives, stays within the machine's memory and descriptors
// and answers an ordinary request while the hostile connections are still open.
func (e *entry) verify() {
	e.t.Helper()
	answered := false
	for end := time.Now().Add(waitTimeout); !answered && e.alive() && time.Now().Before(end); {
		if answered = e.answers(); !answered {
			time.Sleep(pollInterval)
		}
	}
	e.t.Logf("peak resident memory %d MiB of %d, peak descriptors %d of %d, answered %v, killed %v",
		e.peakMemory.Load()>>20, e.machine.memoryMB, e.peakDescriptors.Load(), e.machine.maxDescriptors, answered, e.killed.Load())
	require.LessOrEqual(e.t, e.peakMemory.Load(), int64(e.machine.memoryMB)<<20, "resident memory exceeds the machine's")
	require.LessOrEqual(e.t, e.peakDescriptors.Load(), int64(e.machine.maxDescriptors), "open descriptors exceed the machine's")
	require.True(e.t, e.alive(), "the process has ended")
	require.True(e.t, answered, "an ordinary request is not answered")
}

// log returns what the process has logged.
func (e *entry) log() string {
	data, err := os.ReadFile(e.out.Name())
	require.NoError(e.t, err)
	return string(data)
}

func (e *entry) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// end stops the process and prints the end of its log if the test failed.
func (e *entry) end() {
	close(e.stop)
	e.sampled.Wait()
	_ = e.command.Process.Signal(syscall.SIGKILL)
	<-e.exited
	_ = e.out.Close()
	if !e.t.Failed() {
		return
	}
	data, _ := os.ReadFile(e.out.Name())
	e.t.Logf("the last log lines:\n%s", data[max(0, len(data)-maxLoggedBytes):])
}

// maxLoggedBytes limits what a failed test prints of the log of the process.
const maxLoggedBytes = 4 << 10
