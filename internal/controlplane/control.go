package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

const (
	// headerStamp carries a word's stamp.
	headerStamp = "Curlewwalk-Stamp"
	// headerGeneration carries the operator's own number of a configuration.
	headerGeneration = "Curlewwalk-Edition"
)

// written is the response of an operator's write.
type written struct {
	Stamp uint64            `json:"stamp,omitempty"`
	Taken consensus.Outcome `json:"taken"`
	// InForce tells whether every sidecar that this core hears has it in force;
	// Behind lists those that have not.
	InForce *bool    `json:"in_force,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// faulty is the response of a configuration that does not check.
type faulty struct {
	Error  string                  `json:"error"`
	Faults []config.FieldViolation `json:"faults"`
}

// state is what GET /v1/state shows.
type state struct {
	Self      membership.Replica             `json:"self"`
	Phase     consensus.Phase                `json:"phase"`
	Promised  uint64                         `json:"promised"`
	Mark      consensus.Position             `json:"mark"`
	Slots     consensus.MemberSets           `json:"slots"`
	Seats     map[int]consensus.MemberRecord `json:"incarnations"`
	Duty      int                            `json:"duty"`
	Cores     []membership.Replica           `json:"cores"`
	Live      []int                          `json:"live"`
	Directory watch.Status                   `json:"directory"`
}

// control serves a core's /v1, /live and /ready.
func (n *Node) control() http.Handler {
	mux := http.NewServeMux()
	n.p.Common(mux, n.live, n.Ready)
	mux.HandleFunc("PUT /v1/desired", n.putDesired)
	mux.HandleFunc("GET /v1/desired", n.getDesired)
	mux.HandleFunc("GET /v1/localities", n.getZones)
	mux.HandleFunc("GET /v1/localities/{name}", n.getDrain)
	mux.HandleFunc("PUT /v1/localities/{name}/emptied", n.zone(consensus.CommandEvacuate))
	mux.HandleFunc("DELETE /v1/localities/{name}/emptied", n.zone(consensus.CommandRevokeEvacuation))
	mux.HandleFunc("PUT /v1/windows", n.putWindows)
	mux.HandleFunc("GET /v1/windows", n.getWindows)
	mux.HandleFunc("DELETE /v1/windows", func(w http.ResponseWriter, r *http.Request) {
		n.calendar(w, r, nil)
	})
	mux.HandleFunc("GET /v1/traces/{id}", n.getTrace)
	mux.HandleFunc("GET /v1/state", n.getState)
	mux.Handle("GET /v1/reload", n.reload)
	mux.Handle("GET /metrics", n.metrics())
	mux.HandleFunc("GET /v1/budgets", n.getBudgets)
	return mux
}

func (n *Node) live(ctx context.Context) (bool, string) {
	_, ok := n.directory.Status(ctx)
	return ok, "control thread"
}

func (n *Node) getState(w http.ResponseWriter, r *http.Request) {
	v := n.keeper.Acceptor()
	st := state{Self: n.seat(), Phase: v.Phase, Promised: v.Promised, Mark: v.Position, Slots: v.MemberSets(), Seats: v.Members, Duty: n.duty().MemberID, Cores: n.seeker.Replicas().Observed()}
	for _, c := range n.seeker.Replicas().Live(time.Now()) {
		st.Live = append(st.Live, c.MemberID)
	}
	st.Directory, _ = n.directory.Status(r.Context())
	process.JSON(w, http.StatusOK, st)
}

// body reads an operator's document of at most so many bytes.
func body(w http.ResponseWriter, r *http.Request, what, path string, most int64) ([]byte, bool) {
	b, err := process.ReadDocument(w, r, most)
	switch {
	case err == nil:
	case err.Status == http.StatusRequestEntityTooLarge:
		process.JSON(w, http.StatusUnprocessableEntity, faulty{
			Error:  what + " does not check",
			Faults: []config.FieldViolation{{Path: path, Message: err.Message}},
		})
	default:
		process.Error(w, err.Status, err.Message)
	}
	return b, err == nil
}

func (n *Node) putDesired(w http.ResponseWriter, r *http.Request) {
	bytes, ok := body(w, r, "configuration", "$", config.MaxBytes)
	if !ok {
		return
	}
	e := Generation{Desired: bytes}
	if e.IfMatch, ok = ifMatch(w, r); !ok {
		return
	}
	if text := r.Header.Get(headerGeneration); text != "" {
		var err error
		if e.Number, err = strconv.ParseUint(text, 10, 64); err != nil || e.Number == 0 {
			process.Error(w, http.StatusBadRequest, headerGeneration+" is no number from 1")
			return
		}
	}
	if !json.Valid(bytes) {
		process.Error(w, http.StatusBadRequest, "not JSON")
		return
	}
	a, faults := n.Put(r.Context(), e)
	if len(faults) > 0 {
		process.JSON(w, http.StatusUnprocessableEntity, faulty{Error: "configuration does not check", Faults: faults})
		return
	}
	n.response(w, r, a)
}

func (n *Node) zone(kind consensus.CommandKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		if !config.IsValidName(name) {
			process.JSON(w, http.StatusUnprocessableEntity, faulty{Error: "no locality", Faults: []config.FieldViolation{{Path: name, Message: "must be " + config.NameRules}}})
			return
		}
		if m, ok := ifMatch(w, r); ok {
			n.response(w, r, n.evacuate(r.Context(), consensus.Command{Kind: kind, Zone: name, IfMatch: m}))
		}
	}
}

// ifMatch reads the stamp that an order is bound to; false if it is none.
func ifMatch(w http.ResponseWriter, r *http.Request) (*uint64, bool) {
	m := r.Header.Get("If-Match")
	if m == "" {
		return nil, true
	}
	stamp, err := strconv.ParseUint(strings.Trim(m, `"`), 10, 64)
	if err != nil {
		process.Error(w, http.StatusBadRequest, "If-Match is no stamp")
	}
	return &stamp, err == nil
}

// response tells what is known of an order that was carried out.
func (n *Node) response(w http.ResponseWriter, r *http.Request, a consensus.CommandResult) {
	out := written{Taken: a.Outcome, Stamp: a.State.Revision}
	status := http.StatusOK
	switch a.Outcome {
	case consensus.OutcomeCommitted:
		stamped(w, a.State.Revision)
		behind, known := n.InForce(r.Context(), a.State.Revision)
		inForce := known && len(behind) == 0
		out.InForce, out.Behind = &inForce, behind
	case consensus.OutcomeMismatch:
		status, out.Stamp, out.Error = http.StatusPreconditionFailed, a.State.ConfigurationRevision, "the newest stamp is another one"
	case consensus.OutcomeConflict:
		status, out.Stamp, out.Error = http.StatusConflict, 0, "another configuration was taken under its number"
	default:
		out.Error = "no majority of cores took it"
		if a.Outcome == consensus.OutcomeSuperseded {
			out.Error = "a newer order on the locality was taken meanwhile"
		}
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	process.JSON(w, status, out)
}

func stamped(w http.ResponseWriter, stamp uint64) {
	w.Header().Set(headerStamp, strconv.FormatUint(stamp, 10))
	w.Header().Set("ETag", `"`+strconv.FormatUint(stamp, 10)+`"`)
}

// read reads the newest word back from a majority.
func (n *Node) read(w http.ResponseWriter, r *http.Request) (config.ControlState, bool) {
	state, ok := n.Read(r.Context())
	if !ok {
		w.Header().Set("Retry-After", "1")
		process.Error(w, http.StatusServiceUnavailable, "no majority of cores answers")
	}
	return state, ok
}

func (n *Node) getDesired(w http.ResponseWriter, r *http.Request) {
	state, ok := n.read(w, r)
	if !ok {
		return
	}
	if state.ConfigurationRevision == 0 {
		process.Error(w, http.StatusNotFound, "no configuration was ever put")
		return
	}
	stamped(w, state.ConfigurationRevision)
	if state.Generation != 0 {
		w.Header().Set(headerGeneration, strconv.FormatUint(state.Generation, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(state.Configuration)
}

func (n *Node) getZones(w http.ResponseWriter, r *http.Request) {
	if state, ok := n.read(w, r); ok {
		emptied := state.EvacuatedZones()
		if emptied == nil {
			emptied = []string{}
		}
		process.JSON(w, http.StatusOK, map[string]any{"stamp": state.Revision, "emptied": emptied, "windows": state.Closures})
	}
}

// getBudgets shows the budgets, summed over the nodes that this core hears.
func (n *Node) getBudgets(w http.ResponseWriter, r *http.Request) {
	st, ok := n.directory.Status(r.Context())
	table, good := routing.NewTable(st.ControlState)
	if !ok || !good {
		process.Error(w, http.StatusServiceUnavailable, "no configuration is known")
		return
	}
	process.JSON(w, http.StatusOK, retrybudget.Answer{Whole: st.Ready, Budgets: table.Pages(n.directory.Budgets())})
}

// getDrain reports what still runs in a zone, and since when nothing does. A core
// that knows of no newer word, since it is cut off, reports nothing.
func (n *Node) getDrain(w http.ResponseWriter, r *http.Request) {
	newest, contact := n.keeper.ReadIndex(r.Context())
	d, ok := n.directory.DrainStatus(r.Context(), r.PathValue("name"))
	if !contact || !ok || d.Revision < newest {
		w.Header().Set("Retry-After", "1")
		process.Error(w, http.StatusServiceUnavailable, "no majority of cores confirms what is known here")
		return
	}
	process.JSON(w, http.StatusOK, d)
}

// getTrace gathers a trace from all cores.
func (n *Node) getTrace(w http.ResponseWriter, r *http.Request) {
	id, ok := trace.ParseTraceID(r.PathValue("id"))
	if !ok {
		process.Error(w, http.StatusBadRequest, "not a trace id: 16 or 32 hex digits")
		return
	}
	type part struct {
		slot   int
		events []trace.Event
		ok     bool
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	set, own := n.slots(), n.keeper.Acceptor().Self.MemberID
	parts := make(chan part, len(set))
	for _, slot := range set {
		n.p.Launcher.Go(ctx, "trace-query", func(ctx context.Context) {
			addr, known := n.Addr(slot)
			if slot == own {
				addr, known = n.set.Advertise, true
			}
			var b tracestore.Batch
			got := known && n.p.Net.Call(ctx, addr, transport.Control, tracestore.KindTrace, tracestore.Query{Trace: id}).Into(&b)
			parts <- part{slot: slot, events: b.Events, ok: got}
		})
	}
	var events []trace.Event
	var unasked []int
	for range set {
		p := <-parts
		events = append(events, p.events...)
		if !p.ok {
			unasked = append(unasked, p.slot)
		}
	}
	t := tracestore.Build(id, events)
	t.Unasked, t.Whole = unasked, t.Whole && len(unasked) == 0
	status := http.StatusOK
	if t.Spans == 0 {
		status = http.StatusNotFound
	}
	process.JSON(w, status, t)
}
