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

// waitLimit bounds every wait of these tests; it is no measure of speed.
const waitLimit = 60 * time.Second

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

// binaries builds both programs once for all tests.
func binaries(t *testing.T) string {
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

// cluster is a deployment whose processes this test started.
type cluster struct {
	t         *testing.T
	bin       string
	folder    string
	addresses map[string]string
	lines     map[string][]string
	running   map[string]*exec.Cmd
	keys      map[string]string
	record    map[string]int
}

// freeBase finds a run of ports that are free now.
func freeBase(t *testing.T, count int) int {
	t.Helper()
	for base := 22000 + os.Getpid()%2000; base < 32000; base += count {
		if allFree(base, count) {
			return base
		}
	}
	require.Fail(t, "no free ports")
	return 0
}

func allFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts a deployment and waits until it serves every customer.
func start(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, bin: binaries(t), folder: t.TempDir(), addresses: map[string]string{},
		lines: map[string][]string{}, running: map[string]*exec.Cmd{}, keys: map[string]string{},
		record: map[string]int{},
	}
	w, err := lab.ReadWorkload("../../workloads/demo.json")
	require.NoError(t, err)
	require.NoError(t, lab.WriteLayout(w, c.folder, freeBase(t, 40)))
	c.readLayout()
	t.Cleanup(c.stopAll)
	for name := range c.lines {
		c.startProcess(name)
	}
	c.waitGet("store", lab.PathReady)
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
		c.lines[fields[0]] = fields[1:]
	}
}

func (c *cluster) startProcess(name string) {
	line := c.lines[name]
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	cmd := exec.Command(filepath.Join(c.bin, line[0]), line[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	require.NoError(c.t, cmd.Start())
	c.running[name] = cmd
}

func (c *cluster) kill(name string) {
	cmd := c.running[name]
	require.NoError(c.t, cmd.Process.Kill())
	_ = cmd.Wait()
	delete(c.running, name)
}

func (c *cluster) signal(name string, s syscall.Signal) {
	require.NoError(c.t, c.running[name].Process.Signal(s))
}

func (c *cluster) stopAll() {
	for _, cmd := range c.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range c.running {
		_ = cmd.Wait()
	}
	if !c.t.Failed() {
		return
	}
	for name := range c.lines {
		if strings.HasPrefix(name, "entry") {
			data, _ := os.ReadFile(filepath.Join(c.folder, name+".log"))
			c.t.Logf("log of %s:\n%s", name, data)
		}
	}
}

// command runs the product's command line and returns its output.
func (c *cluster) command(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(c.bin, "cactusspoke"), args...)
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

func (c *cluster) settings(entry string) string {
	return filepath.Join(c.folder, "settings-"+entry+".json")
}

func (c *cluster) must(args ...string) string {
	c.t.Helper()
	out, err := c.command(args...)
	require.NoError(c.t, err, out)
	return out
}

func (c *cluster) configure(w *lab.Workload) {
	s := c.settings("entry-0")
	for _, kind := range []string{"profile", "service", "customer"} {
		files, err := filepath.Glob(filepath.Join(c.folder, kind+"-*.json"))
		require.NoError(c.t, err)
		for _, f := range files {
			c.must(kind, "put", "--settings", s, f)
		}
	}
	for _, customer := range w.Customers {
		out := c.must("key", "grant", "--settings", s, "--customer", customer.Name)
		c.keys[customer.Name] = strings.Fields(out)[0]
		path := filepath.Join(c.folder, customer.Name+".key")
		require.NoError(c.t, os.WriteFile(path, []byte(c.keys[customer.Name]), 0o600))
	}
}

// eventually waits until a condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		require.True(c.t, time.Now().Before(deadline), "waited for: %s", what)
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) waitGet(name, path string) {
	c.t.Helper()
	c.eventually(name+" answers", func() bool {
		return c.send("GET", "http://"+c.addresses[name]+path, "", nil).status == 200
	})
}

// answer is what came back; status zero means that nothing did.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) kind() string {
	var wire struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.Unmarshal(a.body, &wire)
	return wire.Error.Kind
}

// figure is the kind under which the account should count the answer.
func (a answer) figure() string {
	switch {
	case a.status == 200 && a.header.Get("Idempotent-Replayed") == "true":
		return "replayed"
	case a.status == 200:
		return "requests"
	default:
		return "refused:" + a.kind()
	}
}

func (c *cluster) send(method, url, key string, body []byte, headers ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
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
		c.record[a.figure()]++
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

func (c *cluster) fault(name, faults string) {
	a := c.send("POST", "http://"+c.addresses[name]+lab.PathFaults, "", []byte(faults))
	require.Equal(c.t, 200, a.status)
}

// seen reads what a stand-in saw.
func (c *cluster) seen(name string, into any) {
	a := c.send("GET", "http://"+c.addresses[name]+lab.PathSeen, "", nil)
	require.NoError(c.t, json.Unmarshal(a.body, into))
}

// runs adds up how often a booking ran on all plain services.
func (c *cluster) runs(booking string) int {
	total := 0
	for _, name := range []string{"returns-app-0", "returns-app-1"} {
		var s struct {
			Runs map[string]int `json:"runs"`
		}
		c.seen(name, &s)
		total += s.Runs[booking]
	}
	return total
}

// violations adds up the invariants that the instances saw violated.
func (c *cluster) violations() map[string]int {
	found := map[string]int{}
	for name := range c.running {
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
