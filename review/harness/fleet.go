package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons; every daemon has an address of its own.
const (
	portPeer    = 17360
	portMetrics = 17375
	portControl = 18683
	portCallers = 18689
	portReady   = 18687
	portDir     = 18688
	portServer  = 18080
	portCloud   = 18090
)

var zones = []string{"qc-est-a", "qc-est-b", "qc-est-c"}

// daemon is one process of the project.
type daemon struct {
	id, ip, zone string
	store        bool
	config, data string
	cmd          *exec.Cmd
	done         chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec     *record
	dir     string
	program string
	net     string // first three octets
	stores  []*daemon
	fronts  []*daemon
	cloud   *cloud
	mu      sync.Mutex
	closed  bool
}

// newFleet prepares a deployment with three stores and the given number of fronts.
func newFleet(rec *record, fronts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, program: filepath.Join(repository(), "target", "apricotstream")}
	if _, err := os.Stat(f.program); err != nil {
		return nil, err
	}
	if f.net, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range 3 {
		f.stores = append(f.stores, &daemon{id: fmt.Sprintf("store-%s-1", zones[i]), ip: f.addr(10 + i), zone: zones[i], store: true})
	}
	for i := range fronts {
		f.fronts = append(f.fronts, &daemon{id: fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), ip: f.addr(20 + i), zone: zones[i%3]})
	}
	for _, d := range f.all() {
		d.config = filepath.Join(dir, d.id+".yaml")
		if d.store {
			d.data = filepath.Join(dir, d.id)
			if err := os.Mkdir(d.data, 0o755); err != nil {
				return nil, err
			}
		}
	}
	f.cloud, err = startCloud(rec, net.JoinHostPort(f.addr(5), fmt.Sprint(portCloud)))
	return f, err
}

func repository() string {
	r, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil {
		return "."
	}
	return r
}

// freeNetwork returns the prefix of a loopback network on which nothing listens.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 64+rand.IntN(160), rand.IntN(250))
		free := true
		for _, p := range []int{portPeer, portControl, portCallers, portServer, portCloud} {
			for _, host := range []int{5, 10, 20, 30} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, host, p))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func (f *fleet) addr(host int) string { return fmt.Sprintf("%s.%d", f.net, host) }

func (f *fleet) all() []*daemon { return append(append([]*daemon{}, f.stores...), f.fronts...) }

// settings are what deploy/settings.ini gives for the daemon.
func (f *fleet) settings(d *daemon, first bool) string {
	var seeds []string
	for _, s := range f.stores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, portControl))
	}
	var b strings.Builder
	memory := 284
	if d.store {
		memory = 294
	}
	fmt.Fprintf(&b, "[daemon]\nid = %s\nzone = %s\nregion = qc-est\npeer_address = %s:%d\nmemory_mb = %d\ngrace = 8s\n", d.id, d.zone, d.ip, portPeer, memory)
	if d.store {
		fmt.Fprintf(&b, "data_folder = %s\n", d.data)
	}
	b.WriteString("[listen]\n")
	if d.store {
		fmt.Fprintf(&b, "control = %s:%d\n", d.ip, portControl)
	} else {
		fmt.Fprintf(&b, "callers = %s:%d\nready = %s:%d\ndirectory = %s:%d\n", d.ip, portCallers, d.ip, portReady, d.ip, portDir)
	}
	fmt.Fprintf(&b, "metrics = %s:%d\n[group]\nseeds = %s\nfirst_start = %v\ntolerance = 1\n", d.ip, portMetrics, strings.Join(seeds, ","), first)
	fmt.Fprintf(&b, "[duties]\nplatform_address = %s:%d\nusage_interval = 5s\nguard = 3000ms\nbatch_keep = 120s\n", f.addr(5), portCloud)
	return b.String()
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon, first bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return fmt.Errorf("closed")
	}
	if err := os.WriteFile(d.config, []byte(f.settings(d, first)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(f.program, "platform", "--config", d.config)
	d.cmd.Dir = repository()
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		out.Close()
		return err
	}
	d.done = make(chan struct{})
	cmd, done := d.cmd, d.done
	go func() {
		err := cmd.Wait()
		out.Close()
		f.rec.logf("%s ended: %v", d.id, err)
		close(done)
	}()
	f.rec.logf("%s started, pid %d", d.id, d.cmd.Process.Pid)
	return nil
}

func (f *fleet) startAll() error {
	for _, d := range f.all() {
		if err := f.start(d, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a daemon that this run started.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	f.rec.logf("%s gets signal %v", d.id, s)
	_ = d.cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, d := range f.all() {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
		}
	}
	for _, d := range f.all() {
		if d.done != nil {
			<-d.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
	}
	_ = os.RemoveAll(f.dir)
}

// control calls the control interface of the stores in turn, as operators and trainers do,
// until a call succeeds.
func (f *fleet) control(method, path, body string, within time.Duration) error {
	end := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	last := fmt.Errorf("not called")
	for i := 0; time.Now().Before(end); i++ {
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", f.stores[i%3].ip, portControl, path), strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			f.rec.logf("operator: %s %s at %s: %d", method, path, f.stores[i%3].id, resp.StatusCode)
			return nil
		}
		last = fmt.Errorf("%d %s", resp.StatusCode, b)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: %w", method, path, last)
}

// awaitReady waits until every front answers its readiness check.
func (f *fleet) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, d := range f.fronts {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", d.ip, portReady))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, portCallers) }
