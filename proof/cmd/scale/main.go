// Command scale measures what the control plane costs as fleets grow, by an
// experiment file, and writes results, slopes and plots into a folder.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pelletier/go-toml/v2"

	"curlewwalk/proof/scale"
)

type options struct {
	Experiment string        `long:"experiment" short:"e" description:"experiment file (TOML); --print shows one with all fields"`
	Out        string        `long:"out" short:"o" description:"folder for results.jsonl, report.md and plots; it must not hold results yet"`
	Print      bool          `long:"print" description:"print the default experiment and exit"`
	Check      bool          `long:"check" description:"check the experiment file and exit"`
	Against    string        `long:"against" description:"another build of this command, whose cores and nodes are measured in turn with this one's"`
	Limit      time.Duration `long:"limit" default:"30m" description:"bound of the whole run; what was measured by then stands"`
}

func main() {
	if scale.Be(os.Args) {
		return
	}
	var opt options
	p := flags.NewParser(&opt, flags.Default)
	p.LongDescription = "Starts real cores and sidecars on loopback addresses, and beside them hollow sidecars, many in a process, that speak the same control protocol without traffic; counts messages, bytes, processor time, memory and descriptors by role at each size; fits slopes. Ends its processes by itself; ^C leaves whole results. Exit: 0 measured, 1 a fault (hollow nodes unlike real ones, something not everywhere in time), 2 bad flags or experiment."
	if rest, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	} else if len(rest) > 0 {
		bad("%q: no such argument", rest[0])
	}
	if opt.Print {
		b, err := toml.Marshal(scale.Default())
		if err != nil {
			bad("%v", err)
		}
		os.Stdout.Write(b)
		return
	}
	exp := scale.Default()
	if opt.Experiment != "" {
		var faults []scale.Fault
		if exp, faults = scale.Read(opt.Experiment); len(faults) > 0 {
			for _, f := range faults {
				fmt.Fprintln(os.Stderr, "scale: experiment:", f)
			}
			os.Exit(2)
		}
	}
	if opt.Check {
		fmt.Println("scale: the experiment is good")
		return
	}
	if opt.Out == "" {
		bad("--out: a folder must be named")
	}
	if err := run(exp, opt); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func bad(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "scale: "+format+"\n", args...)
	os.Exit(2)
}

func run(exp scale.Experiment, opt options) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	r := &scale.Run{Exp: exp}
	begin := time.Now()
	r.Say = func(format string, args ...any) {
		fmt.Printf("%6.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
	builds := []struct{ name, path string }{{"this", own}}
	if opt.Against != "" {
		builds = append(builds, struct{ name, path string }{"against", opt.Against})
	}
	for _, b := range builds {
		bin, err := scale.Programs(b.path)
		if err != nil {
			return err
		}
		defer bin.Remove()
		r.Versions = append(r.Versions, scale.Version{Name: b.name, Bin: bin})
	}
	if err := r.Open(opt.Out); err != nil {
		return err
	}
	defer r.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, opt.Limit)
	defer cancel()
	ended := "The run came to its end"
	err = r.Do(ctx)
	if err != nil {
		ended = "The run was ended early: " + err.Error()
	}
	if werr := r.Report(opt.Out, ended); werr != nil {
		return werr
	}
	fmt.Printf("results and report are in %s\n", opt.Out)
	if err != nil {
		return err
	}
	if faults := r.Faults(); len(faults) > 0 {
		return fmt.Errorf("%d faults, the first: %s", len(faults), faults[0])
	}
	return nil
}
