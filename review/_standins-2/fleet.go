package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment of the project's own program.
type fleet struct {
	root, dir string
	record    *record
	store     *store
	cloud     *cloud
	command   []string
	template  string
	hosts     []*host
	mu        sync.Mutex
	children  map[*exec.Cmd]bool
}

// host is a machine with one process of the role.
type host struct {
	fleet                             *fleet
	name, zone                        string
	front, ready, directory, settings string
	cmd                               *exec.Cmd
	ended                             chan struct{}
}

// site holds the figures of a small deployment, from its sheet.
var site = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
	"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": true, "revokeMs": 5000,
	"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 58, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 140000,
	"requireFencing": true, "leaseMs": 3000, "thawMs": 300, "windowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
	"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "coldExcess": 1.5, "coldSlack": 5, "evacuationMs": 5000,
	"recoveryS": 12, "passMs": 120, "againS": 10, "ttl_max_s": 5,
}

// newFleet reads the deploy file and starts the store and the API.
func newFleet(root, dir string, r *record) *fleet {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	must(err)
	value := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(deploy)
		if m == nil {
			panic("the deploy file has no " + name)
		}
		return string(m[1])
	}
	template, err := os.ReadFile(filepath.Join(root, value("template")))
	must(err)
	return &fleet{
		root: root, dir: dir, record: r, store: newStore(), cloud: newCloud(), command: strings.Fields(value("run")),
		template: string(template), children: map[*exec.Cmd]bool{},
	}
}

// addHost adds a machine in a zone.
func (f *fleet) addHost(zone string) *host {
	n := len(f.hosts)
	h := &host{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone}
	ports := freePorts(5)
	h.front, h.ready, h.directory = local(ports[0]), local(ports[1]), local(ports[2])
	fields := map[string]any{
		"nodeName": h.name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "directory"}, "ip": "127.0.0.1",
		"zone": zone, "region": "region", "listenAddrs": map[string]any{"front": h.front, "ready": h.ready, "directory": h.directory},
		"portRange": []int{ports[3], ports[4]}, "bootstrap": true,
		"limits":     map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "bandwidthMbps": 1000.0, "diskMb": 0},
		"parameters": site, "provider": map[string]any{"address": f.store.address}, "cloudApi": map[string]any{"address": f.cloud.address},
	}
	h.settings = filepath.Join(f.dir, h.name+".conf")
	must(os.WriteFile(h.settings, []byte(fill(f.template, fields)), 0o600))
	f.hosts = append(f.hosts, h)
	return h
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in the placeholders of a template that the project's template uses.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if m[2] != "" {
			data, err := json.Marshal(v)
			must(err)
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

func lookUp(v any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch c := v.(type) {
		case map[string]any:
			v = c[name]
		case []int:
			i := 0
			_, _ = fmt.Sscan(name, &i)
			v = c[i]
		default:
			return nil
		}
	}
	return v
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// taken holds the ports that freePorts has returned.
var taken = map[int]bool{}

// freePorts returns ports that are free for TCP and UDP, below those that the system gives to
// connections, so that none of these takes one before a host does.
func freePorts(n int) []int {
	var ports []int
	var open []io.Closer
	for tries := 0; len(ports) < n; tries++ {
		if tries > 1000 {
			panic("no free ports")
		}
		port := 10000 + rand.IntN(20000)
		if taken[port] {
			continue
		}
		l, err := net.Listen("tcp4", local(port))
		if err != nil {
			continue
		}
		open = append(open, l)
		u, err := net.ListenPacket("udp4", local(port))
		if err != nil {
			continue
		}
		open = append(open, u)
		ports = append(ports, port)
		taken[port] = true
	}
	for _, c := range open {
		_ = c.Close()
	}
	return ports
}

// start starts the process of a host.
func (h *host) start() {
	out, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(filepath.Join(h.fleet.root, h.fleet.command[0]), h.fleet.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.fleet.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDMUX_SETTINGS=" + h.settings}
	h.cmd, h.ended = cmd, h.fleet.run(cmd)
	_ = out.Close()
	h.fleet.record.event("start %s", h.name)
}

// run starts a child and returns a channel that is closed when it has ended.
func (f *fleet) run(cmd *exec.Cmd) chan struct{} {
	must(cmd.Start())
	f.mu.Lock()
	f.children[cmd] = true
	f.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		f.mu.Lock()
		delete(f.children, cmd)
		f.mu.Unlock()
		close(ended)
	}()
	return ended
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) {
	h.fleet.record.event("%v to %s", s, h.name)
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process of a host at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// isReady asks a host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				f.record.unable("%s did not get ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// end ends all children and waits for their ends.
func (f *fleet) end() {
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		left := len(f.children)
		for cmd := range f.children {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
		f.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
