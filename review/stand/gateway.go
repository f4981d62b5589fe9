//go:build review

// Package stand starts gateways as processes of their own and provides the stand-ins of the users' platform that the
// cases of the review need: the store, runners and clients.
package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	templatePath = "deploy/gateway.ini"
	// settingsVariable names the settings file, as in the run line of deploy/system.toml.
	settingsVariable = "ARBUTUSRAMP_NODE_FILE"
	readyTimeout     = 20 * time.Second
	graceS           = 8
	stopTimeout      = (graceS + 2) * time.Second
)

// Gateway is a gateway process that can be started again at the same addresses.
type Gateway struct {
	Name        string
	CallersAddr string
	readyAddr   string
	dir         string
	cmd         *exec.Cmd
	ended       chan struct{}
}

// NewGateway renders the settings of a gateway from the template of the deploy file. storeAddr is the address under
// which this gateway reaches the store.
func NewGateway(name, zone, dir, storeAddr string) (*Gateway, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	addrOf := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	g := &Gateway{Name: name, CallersAddr: addrOf(0), readyAddr: addrOf(1), dir: dir}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	// The values are those of kelpie-callback, as the users' bench prints them, but for addresses and ports.
	text := render(string(template), map[string]string{
		"node": name, "zone": zone, "ip": "127.0.0.1", "limits.cpu_share": "0.8", "limits.cores": "1",
		"listen.front": g.CallersAddr, "listen.ready_addr": g.readyAddr, "port_range.0": fmt.Sprint(ports[2]), "port_range.1": fmt.Sprint(ports[3]),
		"platform.addr": storeAddr, "platform.parts": "8", "platform.ttl_min_ms": "1000",
		"bounds.status_s": "120", "bounds.grace_s": fmt.Sprint(graceS),
		"contracts.0": "base", "contracts": "base,drain,config,cost,recover,batch,stream,engine,platform",
	})
	return g, os.WriteFile(g.settingsPath(), []byte(text), 0o600)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?(.*?)\{\{/([a-z_.0-9]+)\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template as the platform does, for the placeholders that the gateway's template uses. A section
// without a value is left out.
func render(template string, values map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		return values[strings.Trim(placeholder, "{}")]
	})
}

// freePorts returns ports of 127.0.0.1 that are free for TCP and UDP.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n && tries < 100*n; tries++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		port := l.Addr().(*net.TCPAddr).Port
		packets, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer packets.Close()
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("only %d of %d free ports found", len(ports), n)
	}
	return ports, nil
}

func (g *Gateway) settingsPath() string { return filepath.Join(g.dir, g.Name+".ini") }

// LogPath is the file that holds what all processes of the gateway have written.
func (g *Gateway) LogPath() string { return filepath.Join(g.dir, g.Name+".log") }

// Start starts the process with the run line of the deploy file.
func (g *Gateway) Start() error {
	out, err := os.OpenFile(g.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command("target/arbutusramp", "gateway", "-config-from", settingsVariable)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, settingsVariable + "=" + g.settingsPath()}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// The process ends with this program, however that ends.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		_ = cmd.Wait() // the log tells how it ended
		close(ended)
	}()
	return nil
}

// AwaitReady waits until the gateway takes clients.
func (g *Gateway) AwaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.readyAddr + Names.Paths.Ready)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.Name, readyTimeout)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Stop sends SIGTERM and, if the process still runs after its grace period, SIGKILL.
func (g *Gateway) Stop() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-g.ended:
	case <-time.After(stopTimeout):
		g.Kill()
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (g *Gateway) Kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.Signal(syscall.SIGKILL) // it may have ended
	<-g.ended
}

// MemoryBytes returns the resident memory of the process; 0 if it does not run.
func (g *Gateway) MemoryBytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // the kernel writes numbers
	return pages * os.Getpagesize()
}
