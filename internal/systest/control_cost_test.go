package systest

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	settleTime          = 4 * time.Second  // wait before a measurement
	measureTime         = 10 * time.Second // duration of a measurement
	clockTicksPerSecond = 100              // kernel clock ticks a second in /proc/PID/stat
)

// resourceUsage is the total processor time and traffic of one daemon, and its current
// memory.
type resourceUsage struct {
	cpu   time.Duration
	bytes int64 // sent and received
	rss   int64 // resident memory in bytes
}

// readResourceUsage returns the resource usage of daemon i up to now.
func (c *cluster) readResourceUsage(i int) resourceUsage {
	pid := c.processes[i].Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	sys, _ := strconv.ParseInt(f[12], 10, 64)
	rss, _ := strconv.ParseInt(f[21], 10, 64)
	return resourceUsage{
		cpu: time.Duration(user+sys) * time.Second / clockTicksPerSecond, bytes: c.peerNetwork.transferred(c.ip(i)),
		rss: rss * int64(os.Getpagesize()),
	}
}

// printResourceUsage prints the processor time and the traffic a second over measureTime, and
// the resident memory, for the leader, another replica and the other daemon with the median
// processor time.
func (c *cluster) printResourceUsage(b *testing.B, label string) {
	time.Sleep(settleTime)
	before := map[int]resourceUsage{}
	for i := 1; i <= c.n; i++ {
		before[i] = c.readResourceUsage(i)
	}
	time.Sleep(measureTime)
	leaderNumber := c.leader(4)
	var entries, followers []string
	var leader string
	for i := 1; i <= c.n; i++ {
		r := c.readResourceUsage(i)
		seconds := measureTime.Seconds()
		s := fmt.Sprintf("%6.2f%% core %7.2f KB/s %5.1f MB", 100*(r.cpu-before[i].cpu).Seconds()/seconds,
			float64(r.bytes-before[i].bytes)/seconds/1000, float64(r.rss)/1e6)
		switch {
		case i == leaderNumber:
			leader = s
		case i <= replicas:
			followers = append(followers, s)
		default:
			entries = append(entries, s)
		}
	}
	slices.Sort(entries)
	slices.Sort(followers)
	fmt.Printf("%-44s leader %s | replica %s | entry %s\n", label, leader, followers[len(followers)/2], entries[len(entries)/2])
}

// announceUpstreams announces k upstreams until stop is closed.
func (c *cluster) announceUpstreams(k int, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	for i := range k {
		a := standin.Announcer{Entries: []string{c.entry(1 + i%c.n)}, Current: func() upstream.Announcement {
			return upstream.Announcement{
				ID: fmt.Sprintf("u%d", i), Incarnation: 1, Service: "hint", Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
				Zone: c.zone(1 + i%3), Class: state.ClassRegular, Concurrency: 8, Running: i % 8, Version: 1, TTL: 2,
			}
		}}
		wg.Go(func() { a.Run(ctx) })
	}
	return &wg
}

// BenchmarkControlCost measures the resource usage of the daemons by the number of daemons,
// announced upstreams, client accounts, streamed tokens and configuration changes. Run:
//
//	go test -run '^$' -bench ControlCost -benchtime 1x -timeout 30m ./internal/systest
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := newSizedCluster(b, n, "")
			c.printResourceUsage(b, fmt.Sprintf("%d daemons, idle", n))
		})
	}
	for _, k := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("upstreams=%d", k), func(b *testing.B) {
			c := newCluster(b, "")
			c.createAccount("owner")
			c.putDocument(hintDocument)
			stop := make(chan struct{})
			wg := c.announceUpstreams(k, stop)
			c.printResourceUsage(b, fmt.Sprintf("6 daemons, %d upstreams announcing", k))
			close(stop)
			wg.Wait()
		})
	}
	b.Run("accounts", func(b *testing.B) {
		c := newCluster(b, "")
		for i := range 1000 {
			c.runOperator("account", "create", fmt.Sprint("a", i))
		}
		c.printResourceUsage(b, "6 daemons, 1,000 client accounts")
	})
	b.Run("tokens", func(b *testing.B) {
		c := newCluster(b, "")
		key := c.createAccount("owner")
		c.putDocument(hintDocument)
		for i := range 8 {
			c.startEngine(standin.Options{ID: fmt.Sprint("e", i), Service: "hint", Zone: c.zone(i + 1), Concurrency: 64, TokenTime: time.Millisecond})
		}
		stop := make(chan struct{})
		var tokens atomic.Int64
		wg := c.runCompletions(4, 32, key, &tokens, stop)
		time.Sleep(settleTime)
		before, tokensBefore := c.readResourceUsage(4), tokens.Load()
		time.Sleep(measureTime)
		after, n := c.readResourceUsage(4), tokens.Load()-tokensBefore
		close(stop)
		wg.Wait()
		fmt.Printf("%d tokens/s through one entry, %.1f µs of processor time for each, %.1f MB\n",
			n/int64(measureTime.Seconds()), float64((after.cpu-before.cpu).Microseconds())/float64(n), float64(after.rss)/1e6)
	})
	b.Run("changes", func(b *testing.B) {
		c := newCluster(b, "")
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { c.changeConfiguration(stop) })
		c.printResourceUsage(b, "6 daemons, 5 changes a second")
		close(stop)
		wg.Wait()
	})
}

// runCompletions keeps k streamed completions running through entry i until stop is closed,
// and counts their tokens.
func (c *cluster) runCompletions(i, k int, key string, tokens *atomic.Int64, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range k {
		caller := standin.Caller{Key: key}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Appendf(nil, `{"model":"hint","messages":[{"role":"user","content":"p %d"}],"max_tokens":400,"stream":true}`, n)
				r, err := caller.PostTo(context.Background(), c.entry(i), "/services/hint/v1/chat/completions", body)
				if err == nil {
					tokens.Add(int64(len(strings.Fields(r.Text))))
				}
			}
		})
	}
	return &wg
}

// changeConfiguration makes 5 configuration changes a second until stop is closed.
func (c *cluster) changeConfiguration(stop chan struct{}) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
			_, _ = c.tryCLI(c.operatorArgs([]string{"account", "create", fmt.Sprintf("a%d", i)}, c.entries())...)
		}
	}
}
