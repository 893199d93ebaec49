package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"curlewwalk/proof/fleet"
	"curlewwalk/proof/standin"
)

// firstHollow is the machine that the first hollow node stands on: behind all that a
// fleet itself may take.
const firstHollow = 400

// school is a running fleet of real processes with shoals of hollow nodes beside them.
type school struct {
	fleet  *fleet.Fleet
	size   Size
	exp    Experiment
	shoals []*pod
	pids   []int
	// straits stand before the cores, by machine, if there are delays.
	straits map[string]*strait
	zones   map[string]string // of the machines
}

// pod is a shoal's process as the run holds it.
type pod struct {
	ip    string
	addrs []string
	cmd   *exec.Cmd
	stdin io.Closer
	said  chan error // nil once it has started
}

// plans are a way and a contract for each service.
func plans(services int) []standin.Plan {
	out := make([]standin.Plan, services)
	for i := range out {
		name := serviceName(i)
		out[i] = standin.Plan{Name: name, Method: "GET", Prefix: "/" + name + "/", Service: name, Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Rank: 1, Work: time.Millisecond}
	}
	return out
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// newSchool starts a fleet of a size.
func newSchool(ctx context.Context, exp Experiment, size Size, bin fleet.Binaries) (*school, error) {
	backends := make([]string, size.Real)
	for i := range backends {
		backends[i] = serviceName(i % size.Services)
	}
	static := size.Cores
	if !size.static() {
		static = 0
	}
	f, err := fleet.New(fleet.Size{Name: "scale", Cores: static, Machines: size.Real, Zones: exp.Zones, Backends: backends, Capacity: 9, Plans: plans(size.Services)}, bin)
	if err != nil {
		return nil, err
	}
	if !size.static() {
		var founders []string
		for i := range size.Cores {
			founders = append(founders, f.CoreWire(i+1))
		}
		for i := range size.Cores {
			f.NewComer(i+1, filepath.Join(f.Dir, fmt.Sprintf("core-%d", i+1)), founders...)
		}
	}
	s := &school{fleet: f, size: size, exp: exp, straits: map[string]*strait{}, zones: map[string]string{}}
	if err := s.layStraits(); err != nil {
		s.close()
		return nil, err
	}
	within, cancel := context.WithTimeout(ctx, time.Duration(exp.Within))
	defer cancel()
	if err := f.Start(within); err != nil {
		s.close()
		return nil, err
	}
	hollow := size.Sidecars - size.Real
	pods := min(exp.Shoals, hollow)
	for p := range pods {
		from, to := p*hollow/pods, (p+1)*hollow/pods
		if err := s.startShoal(from, to); err != nil {
			s.close()
			return nil, err
		}
	}
	starting, stop := context.WithTimeout(ctx, time.Duration(exp.Within)+time.Duration(exp.Every)*time.Duration(hollow/pods+1))
	defer stop()
	for _, p := range s.shoals {
		if err := p.started(starting); err != nil {
			s.close()
			return nil, fmt.Errorf("a shoal's start: %w", err)
		}
	}
	r, err := s.read(ctx)
	if err != nil {
		s.close()
		return nil, err
	}
	for _, pages := range [][]Page{r.cores, r.real, r.shoals} {
		for _, p := range pages {
			s.pids = append(s.pids, p.Usage.Pid)
		}
	}
	return s, nil
}

func (s *school) startShoal(from, to int) error {
	p := &pod{said: make(chan error, 1)}
	args := []string{"--every=" + time.Duration(s.exp.Every).String()}
	if s.size.Handover {
		args = append(args, "--handover")
	}
	for _, seed := range s.fleet.Seeds() {
		args = append(args, "--seed="+seed)
	}
	for i := from; i < to; i++ {
		ip := s.fleet.Site.IP(firstHollow + i)
		addr := net.JoinHostPort(ip, "7400")
		p.addrs = append(p.addrs, addr)
		args = append(args, fmt.Sprintf("--node=%s,%s,%s", addr, s.fleet.Zone(s.size.Real+i), serviceName((s.size.Real+i)%s.size.Services)))
		if p.ip == "" {
			p.ip = ip
		}
	}
	p.cmd = exec.Command(s.fleet.Bin.Path("shoal"), args...)
	// A shoal must not hold many times what its nodes know; nor take all processors
	// when the machine is others' too.
	p.cmd.Env = append(os.Environ(), "GOGC=50")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = os.Stderr
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.stdin = in
	s.shoals = append(s.shoals, p)
	go func() {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err == nil && strings.TrimSpace(line) != "started" {
			err = fmt.Errorf("a shoal said %q", line)
		}
		p.said <- err
	}()
	return nil
}

func (p *pod) started(ctx context.Context) error {
	select {
	case err := <-p.said:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// layStraits puts straits before the cores, if there are delays.
func (s *school) layStraits() error {
	if len(s.exp.Delays) == 0 {
		return nil
	}
	for i := range s.size.Sidecars {
		n := i
		if i >= s.size.Real {
			n += firstHollow - s.size.Real
		}
		s.zones[s.fleet.Site.IP(n)] = s.fleet.Zone(i)
	}
	for i, p := range s.fleet.Cores {
		s.zones[p.IP] = s.fleet.Zone(i)
	}
	for _, p := range s.fleet.Cores {
		at, behind := net.JoinHostPort(p.IP, "7400"), net.JoinHostPort(p.IP, "7399")
		t, err := newStrait(at, behind, func(from string) time.Duration { return s.delay(s.zones[from], s.zones[p.IP]) })
		if err != nil {
			return err
		}
		s.straits[p.IP] = t
		p.Args("--wire="+behind, "--advertise="+at)
	}
	return nil
}

func (s *school) delay(a, b string) time.Duration {
	for _, d := range s.exp.Delays {
		if d.Between[0] == a && d.Between[1] == b || d.Between[0] == b && d.Between[1] == a {
			return time.Duration(d.OneWay)
		}
	}
	return 0
}

// kill ends cores at once; their addresses refuse then.
func (s *school) kill(cores ...*fleet.Program) {
	s.fleet.Kill(cores...)
	for _, p := range cores {
		if t := s.straits[p.IP]; t != nil {
			t.close()
		}
	}
}

// close ends all processes of the school.
func (s *school) close() {
	for _, t := range s.straits {
		t.close()
	}
	for _, p := range s.shoals {
		p.stdin.Close()
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
	s.fleet.Close()
}

// reading is what all processes showed at about one time.
type reading struct {
	at                  time.Time
	cores, real, shoals []Page
}

// read asks all running processes for their pages.
func (s *school) read(ctx context.Context) (reading, error) {
	r := reading{at: time.Now()}
	get := func(ips []string) ([]Page, error) {
		out := make([]Page, len(ips))
		return out, s.each(ips, func(i int, ip string) error { return ask(ctx, ip, "/counts", &out[i]) })
	}
	var cores, real, shoals []string
	for _, p := range s.fleet.Cores {
		if p.Running() {
			cores = append(cores, p.IP)
		}
	}
	for _, p := range s.fleet.Sidecars {
		real = append(real, p.IP)
	}
	for _, p := range s.shoals {
		shoals = append(shoals, p.ip)
	}
	var errs [3]error
	r.cores, errs[0] = get(cores)
	r.real, errs[1] = get(real)
	r.shoals, errs[2] = get(shoals)
	return r, errors.Join(errs[:]...)
}

func (s *school) each(ips []string, do func(i int, ip string) error) error {
	errs := make([]error, len(ips))
	var wg sync.WaitGroup
	for i, ip := range ips {
		wg.Go(func() { errs[i] = do(i, ip) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// shoalIPs are the shoals but some.
func (s *school) shoalIPs(but ...*pod) (out []string) {
	for _, p := range s.shoals {
		if len(but) == 0 || p != but[0] {
			out = append(out, p.ip)
		}
	}
	return out
}

// whole asks some shoals how far they are.
func (s *school) whole(ctx context.Context, ips []string) (Whole, error) {
	all := make([]Whole, len(ips))
	err := s.each(ips, func(i int, ip string) error { return ask(ctx, ip, "/whole", &all[i]) })
	sum := all[0]
	for _, w := range all[1:] {
		sum.Nodes += w.Nodes
		sum.Accused += w.Accused
		sum.LeastKnow, sum.MostKnow, sum.Stamp = min(sum.LeastKnow, w.LeastKnow), max(sum.MostKnow, w.MostKnow), min(sum.Stamp, w.Stamp)
	}
	return sum, err
}

// awaitWhole waits until all nodes of some shoals know just so many nodes, and have a
// stamp; it tells how long that took.
func (s *school) awaitWhole(ctx context.Context, ips []string, known int, stamp uint64) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.exp.Within))
	defer cancel()
	var last Whole
	err := fleet.Await(ctx, fmt.Sprintf("all to know %d nodes and stamp %d", known, stamp), func(ctx context.Context) bool {
		w, err := s.whole(ctx, ips)
		if err == nil {
			last = w
		}
		return err == nil && w.LeastKnow == known && w.MostKnow == known && w.Stamp >= stamp
	})
	if err != nil {
		err = fmt.Errorf("%w; last seen %+v", err, last)
	}
	return time.Since(begin), err
}

// lookOut has all shoals note when their nodes learn of a thing.
func (s *school) lookOut(ctx context.Context, what string) error {
	return s.each(s.shoalIPs(), func(_ int, ip string) error { return ask(ctx, ip, "/look?what="+url.QueryEscape(what), nil) })
}

// reached waits until so many hollow nodes have learned of a thing, and takes how long
// after begin each did.
func (s *school) reached(ctx context.Context, what string, begin time.Time, of int, into *hdrhistogram.Histogram) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.exp.Within))
	defer cancel()
	ips := s.shoalIPs()
	all := make([][]int64, len(ips))
	got := 0
	err := fleet.Await(ctx, fmt.Sprintf("%s at %d nodes", what, of), func(ctx context.Context) bool {
		if s.each(ips, func(i int, ip string) error {
			all[i] = nil
			return ask(ctx, ip, "/reached?what="+url.QueryEscape(what), &all[i])
		}) != nil {
			return false
		}
		got = 0
		for _, times := range all {
			got += len(times)
		}
		return got >= of
	})
	for _, times := range all {
		for _, at := range times {
			into.RecordValue(max(1, (at-begin.UnixNano())/1000))
		}
	}
	return got, err
}

// nodes kills or revives the nodes of a shoal from one up to another.
func (s *school) nodes(ctx context.Context, do string, p *pod, from, to int) error {
	return ask(ctx, p.ip, fmt.Sprintf("/%s?from=%d&to=%d", do, from, to), nil)
}

// resident is what all processes of the school have in memory now.
func (s *school) resident() (sum uint64) {
	for _, pid := range s.pids {
		b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
		if f := strings.Fields(string(b)); err == nil && len(f) > 1 {
			pages, _ := strconv.ParseUint(f[1], 10, 64)
			sum += pages * uint64(os.Getpagesize())
		}
	}
	return sum
}
