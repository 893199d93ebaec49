package scale

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"curlewwalk/wire"
)

// portPage is where each process of a run shows its counts, on its own address.
const portPage = 7410

// Page is what one process of a run shows of itself.
type Page struct {
	Usage Usage      `json:"usage"`
	Nodes []NodePage `json:"nodes"`
}

// NodePage is what one node has carried; in a shoal there are many nodes.
type NodePage struct {
	Addr string `json:"address"`
	Boot uint64 `json:"boot"`
	// Known and Stamp are told by hollow nodes only.
	Known int    `json:"known"`
	Stamp uint64 `json:"stamp"`
	// Net is the calling side, Host the answering one.
	Net  map[string]wire.Count `json:"net"`
	Host map[string]wire.Count `json:"host"`
}

// Usage is what a process uses.
type Usage struct {
	Pid         int     `json:"pid"`
	Processor   float64 `json:"processor_seconds"`
	Resident    uint64  `json:"resident_bytes"`
	Heap        uint64  `json:"heap_bytes"`
	Goroutines  int     `json:"goroutines"`
	Descriptors int     `json:"descriptors"`
}

// used reads what this process uses.
func used() Usage {
	u := Usage{Pid: os.Getpid(), Goroutines: runtime.NumGoroutine()}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.Processor = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapAlloc
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(b)); len(f) > 1 {
			pages, _ := strconv.ParseUint(f[1], 10, 64)
			u.Resident = pages * uint64(os.Getpagesize())
		}
	}
	if d, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.Descriptors = len(d)
	}
	return u
}

// show serves a page on the address of wireAddr.
func show(wireAddr string, page func() Page, more func(mux *http.ServeMux)) error {
	host, _, err := net.SplitHostPort(wireAddr)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", pageAddr(host))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { answer(w, page()) })
	if more != nil {
		more(mux)
	}
	go http.Serve(ln, mux)
	return nil
}

func answer(w http.ResponseWriter, v any) { json.NewEncoder(w).Encode(v) }

func pageAddr(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(portPage)) }

// ask gets a page of a process at an address.
func ask(ctx context.Context, ip, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pageAddr(ip)+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
