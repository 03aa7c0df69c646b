// Command caselab plays the script cases of the review: it starts the programs of the
// deploy file as processes on loopback addresses, with stand-ins for the platform, the
// workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactusspoke/platform/standin"
)

// Bounds and limits that the settings of a small deployment have.
const (
	contactTime = 3 * time.Second
	memoryMB    = 284 // of each machine
	host        = "ficu95.example"
	// workerHost is the last byte of the address of all workers.
	workerHost = 9
)

var zones = []string{"almaty-north", "almaty-east", "almaty-south"}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// process is a running program of the project.
type process struct {
	name string
	ip   string
	cmd  *exec.Cmd
	log  string
}

// deployment is the platform with the processes of the deploy file.
type deployment struct {
	root, folder string
	record       *record
	trouble      bool
	store        *standin.Store
	storeAddress string
	cloud        *standin.CloudAPI
	network      string // the first three bytes of the addresses
	nextHost     int
	workers      atomic.Int64
	frontPort    int
	entries      []*process
	schedulers   []*process
	stop         chan struct{}
}

// cannotRun ends the program with the exit code for a case that could not run.
type cannotRun struct{ error }

func fail(format string, args ...any) { panic(cannotRun{fmt.Errorf(format, args...)}) }

func newDeployment(root, out string) *deployment {
	folder, err := os.MkdirTemp("", "caselab")
	if err != nil {
		fail("%v", err)
	}
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	d := &deployment{
		root: root, folder: folder, record: &record{file: file, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0",
		store: standin.NewStore(), cloud: standin.NewCloudAPI(), nextHost: 10, stop: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()/200%128, 1+os.Getpid()%200),
	}
	d.storeAddress, _ = d.store.Listen(0)
	d.frontPort = d.freePorts()
	return d
}

// freePorts returns the first of 20 ports that are free on the first addresses of the network.
func (d *deployment) freePorts() int {
	for base := 24000; base < 32000; base += 20 {
		free := true
		for port := base; port < base+20 && free; port++ {
			for h := 10; h < 16 && free; h++ {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", d.network, h, port))
				free = err == nil
				if free {
					_ = l.Close()
				}
			}
		}
		if free {
			return base
		}
	}
	fail("no free ports")
	return 0
}

// workerAddress returns the address of a new worker. Connections that are opened never get
// it, so a worker that has crashed finds it free.
func (d *deployment) workerAddress() string {
	return fmt.Sprintf("%s.%d:%d", d.network, workerHost, d.frontPort+int(d.workers.Add(1)))
}

// settings returns the settings file of a process, in the platform's format.
func (d *deployment) settings(name, class, ip, zone string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("NodeName=%s\nRole=%s\nMachineClass=%s\nIp=%s\nZone=%s\nRegion=almaty", name, class, class, ip, zone)
	for _, z := range zones {
		line("Zones.%s=almaty", z)
	}
	if class == "front" {
		line("Serves=front,directory\nListen.Front=%s:%d\nListen.Ready=%s:%d\nListen.Directory=%s:%d", ip, d.frontPort, ip, d.frontPort+1, ip, d.frontPort+2)
	} else {
		line("Serves=store\nDataDir=%s", filepath.Join(d.folder, "data-"+name))
	}
	line("InternalPorts=%d,%d\nBootstrap=true\nInTolerance=%v", d.frontPort+4, d.frontPort+19, class != "front")
	line("Limits.CpuShare=0.4\nLimits.Cores=1\nLimits.MemoryMb=%d\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0", memoryMB)
	line("Discovery=platform\nEntry=directory\nHeartbeatMs=1200\nFaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0")
	line("Contracts=base,drain,config,cost,recover,samples,stream,engine,batch,tenants,leader,platform")
	line("Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4.3\nBounds.DrainMs=2000\nBounds.GraceS=8")
	line("Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\nBounds.StrictRevoke=false\nBounds.RevokeMs=5000")
	line("Bounds.RequireFence=true\nBounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.UsageWindowS=5\nBounds.UsageOff=0.05\nBounds.UsageLateS=10\nBounds.RecoverS=12")
	line("Bounds.PassMs=120\nBounds.RetryAfterS=0\nBounds.FinishS=10\nBounds.StatusS=120\nBounds.CancelMs=3000\nBounds.SettleMs=1000\nBounds.QuotaExcess=0.1\nBounds.ttl_max_s=5")
	line("Platform.Address=%s\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000", d.storeAddress)
	line("CloudApi.Address=%s\nCloudApi.RatePerS=50.0\nCloudApi.Duties=usage,autoscale\nCloudApi.DutiesPerS=50.0", d.cloud.Address)
	return b.String()
}

// start starts a role with the command of the deploy file.
func (d *deployment) start(role, metrics, class string) *process {
	d.nextHost++
	zone := zones[d.nextHost%len(zones)]
	p := &process{name: fmt.Sprintf("%s-%d", class, d.nextHost), ip: fmt.Sprintf("%s.%d", d.network, d.nextHost)}
	path := filepath.Join(d.folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(p.name, class, p.ip, zone)), 0o600); err != nil {
		fail("%v", err)
	}
	p.log = filepath.Join(d.folder, p.name+".log")
	log, err := os.Create(p.log)
	if err != nil {
		fail("%v", err)
	}
	p.cmd = exec.Command(filepath.Join(d.root, "target", "cactusspoke"), role, "--metrics", metrics)
	p.cmd.Dir = d.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSSPOKE_NODE_FILE=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("cannot start %s: %v", p.name, err)
	}
	d.record.add("start %s at %s", p.name, p.ip)
	return p
}

func (d *deployment) startEntries(n int) {
	for range n {
		d.entries = append(d.entries, d.start("entry", "9464/metrics", "front"))
	}
}

func (d *deployment) startSchedulers(n int) {
	for range n {
		d.schedulers = append(d.schedulers, d.start("scheduler", "9465/metrics", "store"))
	}
}

// front returns the address at which clients reach an entry.
func (d *deployment) front(p *process) string { return fmt.Sprintf("%s:%d", p.ip, d.frontPort) }

// waitReady waits until all entries are ready and forward requests.
func (d *deployment) waitReady(probe func(p *process) bool) {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range d.entries {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", p.ip, d.frontPort+1))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && probe(p) {
					break
				}
			}
			if time.Now().After(deadline) {
				fail("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("all entries serve")
}

// close ends all processes and removes the folder of the run.
func (d *deployment) close() {
	close(d.stop)
	for _, p := range append(d.entries, d.schedulers...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	_ = d.record.file.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}
