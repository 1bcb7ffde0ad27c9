package main

import (
	"bytes"
	"context"
	"encoding/json"
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
)

// Bounds of the small deployment that the cases start: those of the sheet of eb-chasse.
const (
	entryMemoryMB   = 284
	replicaMemoryMB = 294
	contactTime     = 3 * time.Second
	graceTime       = 8 * time.Second
)

// Ports on each loopback address.
const (
	portPeers = 17360 + iota
	portMetrics
	portCallers
	portReady
	portDirectory
	portControl
	portServer
	portPlatform
)

var zones = []string{"qc-est-a", "qc-est-b", "qc-est-c"}

// daemon is one process of the system.
type daemon struct {
	site    *site
	id, ip  string
	zone    string
	replica bool
	folder  string
	config  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	ended  chan struct{}
	peak   atomic.Int64 // largest memory seen, in kB
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, portCallers) }
func (d *daemon) control() string { return fmt.Sprintf("%s:%d", d.ip, portControl) }

// site is a small deployment on loopback addresses.
type site struct {
	*record
	network  string // first three parts of the addresses
	folder   string // temporary
	binary   string
	replicas []*daemon
	entries  []*daemon
	client   *http.Client
	closers  []func()
	restart  bool // processes that end by themselves are started again, as the platform does
	stopping atomic.Bool
}

// newSite prepares a deployment. Nothing runs yet.
func newSite(r *record, replicas, entries int) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}}
	if s.binary, err = filepath.Abs("target/apricotstream"); err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		s.network = fmt.Sprintf("127.%d.%d", 100+rand.IntN(120), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.network, portPeers))
		if err == nil {
			l.Close()
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	for i := range replicas {
		s.replicas = append(s.replicas, &daemon{site: s, id: fmt.Sprintf("store-%s-%d", zones[i%3], 1+i/3), ip: fmt.Sprintf("%s.%d", s.network, 1+i), zone: zones[i%3], replica: true})
	}
	for i := range entries {
		s.entries = append(s.entries, &daemon{site: s, id: fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), ip: fmt.Sprintf("%s.%d", s.network, 101+i), zone: zones[i%3]})
	}
	return s, nil
}

// platformAddress is where the stand-in of the platform's own interface listens.
func (s *site) platformAddress() string { return fmt.Sprintf("%s.250:%d", s.network, portPlatform) }

// settings returns the settings of a process, in the form of deploy/settings.ini.
func (d *daemon) settings(first bool) string {
	var b strings.Builder
	memory, cpu, fds, link := entryMemoryMB, 0.4, 4100, 1000.0
	if d.replica {
		memory, cpu, fds, link = replicaMemoryMB, 0.8, 8200, 600.0
	}
	fmt.Fprintf(&b, "[daemon]\nid = %s\nzone = %s\nregion = qc-est\npeer_address = %s:%d\nmemory_mb = %d\ndescriptors = %d\ncpu_share = %g\nlink_mbps = %g\ngrace = %ds\n",
		d.id, d.zone, d.ip, portPeers, memory, fds, cpu, link, int(graceTime.Seconds()))
	if d.replica {
		fmt.Fprintf(&b, "data_folder = %s\n", d.folder)
	}
	b.WriteString("[listen]\n")
	if d.replica {
		fmt.Fprintf(&b, "control = %s\n", d.control())
	} else {
		fmt.Fprintf(&b, "callers = %s\nready = %s:%d\ndirectory = %s:%d\n", d.callers(), d.ip, portReady, d.ip, portDirectory)
	}
	fmt.Fprintf(&b, "metrics = %s:%d\n[group]\nseeds = ", d.ip, portMetrics)
	for i := range min(3, len(d.site.replicas)) {
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString(d.site.replicas[i].control())
	}
	fmt.Fprintf(&b, "\nfirst_start = %t\ntolerance = 1\n[duties]\nplatform_address = %s\nusage_interval = 5s\nguard = 3000ms\nbatch_keep = 120s\n[zones]\n", first, d.site.platformAddress())
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = qc-est\n", z)
	}
	return b.String()
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(first bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.replica && d.folder == "" {
		d.folder = filepath.Join(d.site.folder, d.id)
		if err := os.MkdirAll(d.folder, 0o755); err != nil {
			return err
		}
	}
	d.config = filepath.Join(d.site.folder, d.id+".ini")
	if err := os.WriteFile(d.config, []byte(d.settings(first)), 0o644); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(d.site.folder, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(d.site.binary, "platform", "--config", d.config)
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.ended = cmd, make(chan struct{})
	d.starts++
	ended := d.ended
	go func() {
		err := cmd.Wait()
		d.site.add("%s ended: %v", d.id, err)
		close(ended)
	}()
	return nil
}

// pid returns the id of the process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) {
	d.site.add("%s gets %v", d.id, sig)
	_ = syscall.Kill(d.pid(), sig)
}

// running reports whether the process has not ended.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// memoryKB returns the resident memory of the process and its highest value so far.
func (d *daemon) memoryKB() (now, peak int64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid()))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = n
		case "VmHWM:":
			peak = n
		}
	}
	return now, peak
}

// run starts all processes and waits until the entries and replicas answer.
func (s *site) run() error {
	if err := s.servePlatform(); err != nil {
		return err
	}
	for _, d := range append(append([]*daemon{}, s.replicas...), s.entries...) {
		if err := d.start(true); err != nil {
			return err
		}
	}
	s.add("started %d replicas and %d entries on %s.0/24", len(s.replicas), len(s.entries), s.network)
	return nil
}

// close ends all processes.
func (s *site) close() {
	s.stopping.Store(true)
	for _, d := range append(append([]*daemon{}, s.replicas...), s.entries...) {
		if d.cmd == nil {
			continue
		}
		_ = syscall.Kill(d.pid(), syscall.SIGKILL)
		<-d.ended
	}
	for _, f := range s.closers {
		f()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// servePlatform serves the platform's own interface.
func (s *site) servePlatform() error {
	l, err := net.Listen("tcp", s.platformAddress())
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}")
	})}
	go srv.Serve(l)
	s.closers = append(s.closers, func() { srv.Close() })
	return nil
}

// putConfig sends a manifest to the replicas until one confirms it.
func (s *site) putConfig(ctx context.Context, doc map[string]any) error {
	b, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	for i := 0; ; i++ {
		status, _, err := s.call(ctx, http.MethodPut, "http://"+s.replicas[i%len(s.replicas)].control()+"/config", nil, b)
		if err == nil && status == http.StatusOK {
			s.add("manifest %v confirmed", doc["version"])
			return nil
		}
		if err == nil && status == http.StatusBadRequest {
			return fmt.Errorf("manifest refused")
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no confirmation of the manifest: status %d, %v", status, err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// call makes a call and reads the whole answer.
func (s *site) call(ctx context.Context, method, url string, header http.Header, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if h := header.Get("Host"); h != "" {
		req.Host = h
		req.Header.Del("Host")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// awaitServed waits until an entry serves a request.
func (s *site) awaitServed(ctx context.Context, d *daemon, header http.Header, path string, want int) error {
	for {
		h := header.Clone()
		h.Set("Request-Id", newID())
		status, _, err := s.call(ctx, http.MethodPost, "http://"+d.callers()+path, h, []byte("x"))
		if err == nil && status == want {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve: status %d, %v", d.id, status, err)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
