package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the gateway as the deploy file builds and starts it.
var program = []string{"target/cowslipgw", "gateway"}

// Host is a machine that runs the gateway process.
type Host struct {
	Name, IP, Zone                 string
	Frontend, Readiness, Directory string

	settings, logPath string
	record            *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newHost writes the settings file of a host.
func newHost(w *World, name, ip, zone string) (*Host, error) {
	port := func(n int) string { return fmt.Sprintf("%s:%d", ip, w.firstPort+n) }
	h := &Host{Name: name, IP: ip, Zone: zone, Frontend: port(0), Readiness: port(1), Directory: port(2), record: w.record,
		settings: filepath.Join(w.dir, name+".conf"), logPath: filepath.Join(w.dir, name+".log")}
	lines := []string{
		"node=" + name, "role=gateway", "machine_class=frontend", "serves=frontend,directory", "ip=" + ip, "zone=" + zone, "region=" + region,
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+region)
	}
	lines = append(lines,
		"listen_addresses.frontend="+h.Frontend, "listen_addresses.readiness="+h.Readiness, "listen_addresses.directory="+h.Directory,
		fmt.Sprintf("internal_ports=%d,%d", w.firstPort+10, w.firstPort+25), "seeds=", "bootstrap=true", "counts_as_loss=false",
		"limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=154", "limits.file_descriptors=8200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4.3",
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.downgrade_slack_ms=250", "bounds.skew_bound_ms=5000", "bounds.fail_closed=true",
		fmt.Sprintf("bounds.revoke_ms=%d", revokeTime.Milliseconds()), "bounds.quota_window_s=5", "bounds.quota_overage=0.1", "bounds.quota_slack=20",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.deadline_s=10", "bounds.settle_ms=1000", "bounds.ttl_max_s=5",
		"platform.address="+w.storeAddr, "platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.parts=8",
		"platform.append_ms=4.0", "platform.partition_mb_s=20.0", "platform.read_mb_s=80.0", fmt.Sprintf("platform.record_bytes=%d", recordBytes),
		fmt.Sprintf("platform.call_bytes=%d", callBytes), "platform.retention_s=300", "platform.part_mb=200", "platform.ttl_min_ms=1000")
	return h, os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPGW_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	h.record.Log("process", map[string]any{"host": h.Name, "ip": h.IP, "event": "started"})
	go func() {
		_ = cmd.Wait()
		h.record.Log("process", map[string]any{"host": h.Name, "event": "ended", "state": strings.ReplaceAll(cmd.ProcessState.String(), " ", "-")})
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Log("process", map[string]any{"host": h.Name, "event": "signal", "signal": strings.ReplaceAll(s.String(), " ", "-")})
	_ = h.cmd.Process.Signal(s)
}

// Stop sends SIGTERM, and SIGKILL after the grace period.
func (h *Host) Stop() {
	h.Signal(syscall.SIGTERM)
	h.waitOrKill(grace)
}

func (h *Host) waitOrKill(limit time.Duration) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
		h.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// end ends the process at once.
func (h *Host) end() {
	if h.Running() {
		h.Signal(syscall.SIGKILL)
		h.waitOrKill(time.Second)
	}
}

// Ready reports whether the host's readiness check succeeds.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.Readiness + "/api/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
