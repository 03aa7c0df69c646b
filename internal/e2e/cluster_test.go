package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactusspoke/internal/lab"

	"github.com/stretchr/testify/require"
)

const (
	// waitTimeout limits every wait in these tests. It is not a performance bound.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Base ports are searched from firstPort to lastPort. The process id selects where
// the search starts, so that concurrent test runs rarely collide.
const (
	firstPort         = 22000
	lastPort          = 32000
	maxBasePortOffset = 2000
	portsPerCluster   = 40
)

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// buildBinaries builds the programs once for all tests and returns their folder.
func buildBinaries(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "cactusspoke-e2e")
		if errBuild != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", buildDir+"/", "cactusspoke/cmd/...").CombinedOutput()
		if err != nil {
			errBuild = &exec.Error{Name: string(out), Err: err}
		}
	})
	require.NoError(t, errBuild)
	return buildDir
}

// cluster is a deployment of entry instances and simulated services, each of which
// runs as a process of the test.
type cluster struct {
	t             *testing.T
	bin           string
	folder        string
	addresses     map[string]string
	commands      map[string][]string // command line of each process, by its name
	processes     map[string]*exec.Cmd
	keys          map[string]string
	expectedUsage map[string]int // requests of customer clinic by usage kind, as seen by the caller
}

// freeBasePort returns the first of count consecutive free ports.
func freeBasePort(t *testing.T, count int) int {
	t.Helper()
	for base := firstPort + os.Getpid()%maxBasePortOffset; base < lastPort; base += count {
		if portsFree(base, count) {
			return base
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

func portsFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startCluster starts the demo deployment and waits until every entry instance serves
// a request.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, bin: buildBinaries(t), folder: t.TempDir(), addresses: map[string]string{},
		commands: map[string][]string{}, processes: map[string]*exec.Cmd{}, keys: map[string]string{},
		expectedUsage: map[string]int{},
	}
	w, err := lab.ReadWorkload("../../workloads/demo.json")
	require.NoError(t, err)
	require.NoError(t, lab.WriteLayout(w, c.folder, freeBasePort(t, portsPerCluster)))
	c.readLayout()
	t.Cleanup(c.stopAll)
	for name := range c.commands {
		c.startProcess(name)
	}
	c.waitForOK("store", lab.PathReady)
	c.configure(w)
	for _, entry := range []string{"entry-0", "entry-1", "entry-2"} {
		c.eventually(entry+" serves", func() bool { return c.chat(entry, "clinic").status == 200 })
	}
	return c
}

func (c *cluster) readLayout() {
	data, err := os.ReadFile(filepath.Join(c.folder, "addresses.json"))
	require.NoError(c.t, err)
	require.NoError(c.t, json.Unmarshal(data, &c.addresses))
	data, err = os.ReadFile(filepath.Join(c.folder, "processes.txt"))
	require.NoError(c.t, err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		c.commands[fields[0]] = fields[1:]
	}
}

func (c *cluster) startProcess(name string) {
	args := c.commands[name]
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	cmd := exec.Command(filepath.Join(c.bin, args[0]), args[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	require.NoError(c.t, cmd.Start())
	c.processes[name] = cmd
}

func (c *cluster) kill(name string) {
	cmd := c.processes[name]
	require.NoError(c.t, cmd.Process.Kill())
	_ = cmd.Wait()
	delete(c.processes, name)
}

func (c *cluster) signal(name string, s syscall.Signal) {
	require.NoError(c.t, c.processes[name].Process.Signal(s))
}

func (c *cluster) stopAll() {
	for _, cmd := range c.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range c.processes {
		_ = cmd.Wait()
	}
	if !c.t.Failed() {
		return
	}
	for name := range c.commands {
		if strings.HasPrefix(name, "entry") {
			data, _ := os.ReadFile(filepath.Join(c.folder, name+".log"))
			c.t.Logf("log of %s:\n%s", name, data)
		}
	}
}

// runCLI runs the cactusspoke command and returns its combined output.
func (c *cluster) runCLI(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(c.bin, "cactusspoke"), args...)
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

func (c *cluster) settingsPath(entry string) string {
	return filepath.Join(c.folder, "settings-"+entry+".json")
}

// mustRun is like runCLI, but fails the test if the command fails.
func (c *cluster) mustRun(args ...string) string {
	c.t.Helper()
	out, err := c.runCLI(args...)
	require.NoError(c.t, err, out)
	return out
}

// configure stores the profiles, services and customers and grants a key to each
// customer.
func (c *cluster) configure(w *lab.Workload) {
	s := c.settingsPath("entry-0")
	for _, kind := range []string{"profile", "service", "customer"} {
		files, err := filepath.Glob(filepath.Join(c.folder, kind+"-*.json"))
		require.NoError(c.t, err)
		for _, f := range files {
			c.mustRun(kind, "put", "--settings", s, f)
		}
	}
	for _, customer := range w.Customers {
		out := c.mustRun("key", "grant", "--settings", s, "--customer", customer.Name)
		c.keys[customer.Name] = strings.Fields(out)[0]
		path := filepath.Join(c.folder, customer.Name+".key")
		require.NoError(c.t, os.WriteFile(path, []byte(c.keys[customer.Name]), 0o600))
	}
}

// eventually polls holds until it returns true and fails the test after waitTimeout.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		require.True(c.t, time.Now().Before(deadline), "timed out waiting for: %s", what)
		time.Sleep(pollInterval)
	}
}

// waitForOK waits until a GET request to the process returns status 200.
func (c *cluster) waitForOK(name, path string) {
	c.t.Helper()
	c.eventually(name+" answers", func() bool {
		return c.send("GET", "http://"+c.addresses[name]+path, "", nil).status == 200
	})
}

// answer is an HTTP response. Its status is zero if no response was received.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) errorKind() string {
	var wire struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.Unmarshal(a.body, &wire)
	return wire.Error.Kind
}

// usageKind returns the kind under which the usage account should count the answer.
func (a answer) usageKind() string {
	switch {
	case a.status == 200 && a.header.Get("Idempotent-Replayed") == "true":
		return "replayed"
	case a.status == 200:
		return "requests"
	default:
		return "refused:" + a.errorKind()
	}
}

// send sends one request and counts it in expectedUsage if key is clinic's.
func (c *cluster) send(method, url, key string, body []byte, headers ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	require.NoError(c.t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	var out bytes.Buffer
	_, err = out.ReadFrom(reply.Body)
	a := answer{status: reply.StatusCode, header: reply.Header, body: out.Bytes(), err: err}
	if key != "" && key == c.keys["clinic"] {
		c.expectedUsage[a.usageKind()]++
	}
	return a
}

func (c *cluster) url(entry, path string) string { return "http://" + c.addresses[entry] + path }

func (c *cluster) chat(entry, customer string) answer {
	body := []byte(`{"model":"route-llm","max_tokens":4,"messages":[{"role":"user","content":"two packs"}]}`)
	return c.send("POST", c.url(entry, "/v1/chat/completions"), c.keys[customer], body)
}

func (c *cluster) book(entry, customer, booking string) answer {
	body := []byte(`{"booking":"` + booking + `"}`)
	return c.send("POST", c.url(entry, "/v1/services/returns-app/bookings"), c.keys[customer], body, "Idempotency-Key", booking)
}

// setFaults sets the faults that a simulated service injects.
func (c *cluster) setFaults(name, faults string) {
	a := c.send("POST", "http://"+c.addresses[name]+lab.PathFaults, "", []byte(faults))
	require.Equal(c.t, 200, a.status)
}

// readSeen reads what a simulated service has recorded.
func (c *cluster) readSeen(name string, into any) {
	a := c.send("GET", "http://"+c.addresses[name]+lab.PathSeen, "", nil)
	require.NoError(c.t, json.Unmarshal(a.body, into))
}

// bookingRuns returns how often a booking ran on the servers of the plain service.
func (c *cluster) bookingRuns(booking string) int {
	total := 0
	for _, name := range []string{"returns-app-0", "returns-app-1"} {
		var s struct {
			Runs map[string]int `json:"runs"`
		}
		c.readSeen(name, &s)
		total += s.Runs[booking]
	}
	return total
}

// violations sums the invariant violations reported by the running entry instances.
func (c *cluster) violations() map[string]int {
	found := map[string]int{}
	for name := range c.processes {
		if !strings.HasPrefix(name, "entry-") {
			continue
		}
		a := c.send("GET", "http://"+c.addresses[name+"-operators"]+"/v1/status", "", nil)
		var s struct {
			Violations map[string]int `json:"violations"`
		}
		require.NoError(c.t, json.Unmarshal(a.body, &s))
		for id, n := range s.Violations {
			found[id] += n
		}
	}
	return found
}
