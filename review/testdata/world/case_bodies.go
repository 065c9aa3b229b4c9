package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory_mb of the settings.
	memoryMB = 154
	// hotRate is how many requests a second the loud tenant sends, 7.5 times its usual 8, and
	// hotTime for how long. Their bodies stay below the links of the machines (limits.link_mbps).
	hotRate = 60
	hotTime = 6500 * time.Millisecond
	// longBody is a body below max_body_bytes, and uploadTime how long its client takes to send it.
	longBody   = 4_000_000
	shortBody  = 600
	uploadTime = 1800 * time.Millisecond
	// quietWidth is the number of clients of the other tenant that send turns all the while.
	quietWidth = 60
)

// resident returns the resident memory of a process in MB; 0 if it does not run.
func resident(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts
// it again after a short delay.
func (w *World) watchMemory(stop <-chan struct{}) (wait func() map[string]int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	killed, peak := make(map[string]int), make(map[string]int)
	for _, h := range w.Hosts() {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				used := resident(h.Pid())
				mu.Lock()
				peak[h.Name] = max(peak[h.Name], used)
				mu.Unlock()
				if used <= memoryMB {
					continue
				}
				w.record.Say("host %s uses %d MB of memory, limits.memory_mb is %d: the platform kills it", h.Name, used, memoryMB)
				h.Signal(syscall.SIGKILL)
				h.waitOrKill(time.Second)
				mu.Lock()
				killed[h.Name]++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if h.Start() != nil {
					return
				}
			}
		}()
	}
	return func() map[string]int {
		all.Wait()
		w.record.Say("peak memory in MB: %v", peak)
		return killed
	}
}

// playBodies has one tenant send 7.5 times its usual requests, with long bodies, and looks at the
// turns of another tenant.
func playBodies(w *World, trouble bool) (bool, error) {
	if err := w.AddHosts(3); err != nil {
		return false, err
	}
	size := shortBody
	if trouble {
		size = longBody
	}
	stop := make(chan struct{})
	killedBy := w.watchMemory(stop)
	quiet := make(chan []Reply, 1)
	go func() {
		var mu sync.Mutex
		var replies []Reply
		forEach(quietWidth, quietWidth, func(n int) {
			for k := 0; w.record.Since() < 14*time.Second; k++ {
				p := &agentProgram{id: fmt.Sprintf("q%d-%d", n, k), tenant: w.tenants[1].Name, key: w.tenants[1].Keys[0]}
				reply := w.clients.Send(p.turn(input(usualBody)))
				mu.Lock()
				replies = append(replies, reply)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
		quiet <- replies
	}()
	time.Sleep(2 * time.Second)
	var loud sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	for n := range int(hotRate * hotTime.Seconds()) {
		loud.Add(1)
		go func() {
			defer loud.Done()
			time.Sleep(time.Duration(n) * time.Second / hotRate)
			reply := w.clients.Send(Request{Method: http.MethodPost, Path: bookPath, Key: w.tenants[0].Keys[0], Body: input(size), Deadline: 2 * time.Second, Upload: uploadTime})
			mu.Lock()
			defer mu.Unlock()
			counts[reply.Status]++
		}()
	}
	loud.Wait()
	replies := <-quiet
	close(stop)
	killed := killedBy()
	w.record.Say("tenant %s: requests by status %v", w.tenants[0].Name, counts)
	closed := make(map[string]int)
	whole := 0
	for _, r := range replies {
		if r.Whole() {
			whole++
		}
		if r.Kept && !r.Complete && len(w.runs.Of(r.ID)) > 0 {
			closed[r.Addr]++
		}
	}
	w.record.Say("tenant %s: %d turns, %d answered whole", w.tenants[1].Name, len(replies), whole)
	broken := false
	for _, h := range w.Hosts() {
		w.record.Say("host %s was killed %d times for its memory; it passed %d turns of tenant %s from kept channels on to sound replicas and closed the channels without a whole answer",
			h.Name, killed[h.Name], closed[h.Frontend], w.tenants[1].Name)
		broken = broken || closed[h.Frontend] > 3
	}
	return broken, nil
}
