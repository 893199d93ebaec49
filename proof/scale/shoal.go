package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"curlewwalk/launch"
	"curlewwalk/membership"
)

// shoalOptions are how a shoal is started.
type shoalOptions struct {
	Node     []string      `long:"node" description:"address, locality and service of a hollow node, with commas"`
	Seeds    []string      `long:"seed"`
	Handover bool          `long:"handover" description:"nodes ask all others for claims, as real ones do"`
	Every    time.Duration `long:"every" description:"pause from the start of one node to that of the next"`
}

// shoal is one process of many hollow nodes.
type shoal struct {
	opt      shoalOptions
	launcher *launch.Launcher
	reached  reached
	values   sync.Map // of equal: *membership.Node by value
	watch    atomic.Pointer[map[string][]string]

	mu    sync.Mutex
	nodes []*hollow // in the order of opt.Node; nil while killed
}

// value names what a node's soft state follows from, as the feed tells it.
type value struct {
	addr      string
	boot, rev uint64
	stamp     uint64
	inc       uint64
}

// equal is one value for all equal ones, so that a shoal has each node once.
func (s *shoal) equal(n *membership.Node) *membership.Node {
	got, _ := s.values.LoadOrStore(value{n.Addr, n.Boot, n.Rev, n.Stamp, n.Inc}, n)
	return got.(*membership.Node)
}

func (s *shoal) watchedBy(addr string) []string { return slices.Clone((*s.watch.Load())[addr]) }

// runShoal is the program: it ends when its standard input does.
func runShoal(args []string) {
	s := &shoal{reached: reached{all: map[string]map[string]int64{}}}
	if _, err := flags.ParseArgs(&s.opt, args); err != nil {
		os.Exit(2)
	}
	fail := func(err error) {
		fmt.Fprintln(os.Stderr, "shoal:", err)
		os.Exit(1)
	}
	s.launcher = launch.New(slog.New(slog.DiscardHandler), func(name string, cause any, stack []byte) {
		fail(fmt.Errorf("broken invariant in %s: %v\n%s", name, cause, stack))
	})
	s.watch.Store(&map[string][]string{})
	s.nodes = make([]*hollow, len(s.opt.Node))
	ctx := context.Background()
	first, _, _ := strings.Cut(s.opt.Node[0], ",")
	if err := show(first, s.page, func(mux *http.ServeMux) {
		mux.HandleFunc("GET /whole", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.whole()) })
		mux.HandleFunc("GET /look", func(_ http.ResponseWriter, r *http.Request) { s.reached.lookOut(r.FormValue("what")) })
		mux.HandleFunc("GET /reached", func(w http.ResponseWriter, r *http.Request) {
			answer(w, s.reached.times(r.FormValue("what")))
		})
		mux.HandleFunc("GET /kill", func(_ http.ResponseWriter, r *http.Request) { s.each(r, s.kill) })
		mux.HandleFunc("GET /revive", func(w http.ResponseWriter, r *http.Request) {
			s.each(r, func(i int) {
				if err := s.start(ctx, i); err != nil {
					http.Error(w, err.Error(), http.StatusInternalServerError)
				}
			})
		})
	}); err != nil {
		fail(err)
	}
	go s.rank()
	tick := time.NewTicker(max(s.opt.Every, time.Millisecond))
	for i := range s.nodes {
		if err := s.start(ctx, i); err != nil {
			fail(err)
		}
		<-tick.C
	}
	tick.Stop()
	fmt.Println("started")
	io.Copy(io.Discard, os.Stdin)
}

// each does something with the nodes from "from" up to "to".
func (s *shoal) each(r *http.Request, do func(i int)) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	to, _ := strconv.Atoi(r.FormValue("to"))
	for i := from; i < min(to, len(s.nodes)); i++ {
		do(i)
	}
}

func (s *shoal) start(ctx context.Context, i int) error {
	f := strings.Split(s.opt.Node[i], ",")
	h, err := newHollow(s, f[0], f[1], f[2])
	if err != nil {
		return err
	}
	h.run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = h
	return nil
}

func (s *shoal) kill(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.nodes[i]; h != nil {
		h.kill()
		s.nodes[i] = nil
	}
}

func (s *shoal) living() []*hollow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.nodes), func(h *hollow) bool { return h == nil })
}

// rank works out who watches whom, once for all nodes here, from what the first of
// them knows.
func (s *shoal) rank() {
	var last []string
	tick := time.NewTicker(membership.Beat / 2)
	defer tick.Stop()
	for range tick.C {
		if all := s.living(); len(all) > 0 {
			if addrs := all[0].whole().Addrs(); !slices.Equal(addrs, last) {
				next := watches(addrs)
				s.watch.Store(&next)
				last = addrs
			}
		}
	}
}

// Whole tells how far the nodes of a shoal are.
type Whole struct {
	Nodes     int    `json:"nodes"`
	LeastKnow int    `json:"least_known"`
	MostKnow  int    `json:"most_known"`
	Stamp     uint64 `json:"least_stamp"`
	Accused   int    `json:"accused"`
}

func (s *shoal) whole() Whole {
	var w Whole
	for i, h := range s.living() {
		known, stamp := h.known(), h.stamp.Load()
		if i == 0 {
			w.LeastKnow, w.Stamp = known, stamp
		}
		w.Nodes++
		w.LeastKnow, w.MostKnow, w.Stamp = min(w.LeastKnow, known), max(w.MostKnow, known), min(w.Stamp, stamp)
		w.Accused += len(h.watcher.Accused())
	}
	return w
}

func (s *shoal) page() Page {
	p := Page{Usage: used()}
	for _, h := range s.living() {
		n := nodePage(h.addr, h.net, h.host)
		n.Known, n.Stamp = h.known(), h.stamp.Load()
		p.Nodes = append(p.Nodes, n)
	}
	return p
}
