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
	// headerRevision carries a word's stamp.
	headerRevision = "Curlewwalk-Stamp"
	// headerGeneration carries the operator's own number of a configuration.
	headerGeneration = "Curlewwalk-Edition"
)

// writeResponse is the response of an operator's write.
type writeResponse struct {
	Revision uint64            `json:"stamp,omitempty"`
	Result   consensus.Outcome `json:"taken"`
	// Applied tells whether every sidecar that this core hears has it in force;
	// Behind lists those that have not.
	Applied *bool    `json:"in_force,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// validationError is the response of a configuration that does not check.
type validationError struct {
	Error  string                  `json:"error"`
	Faults []config.FieldViolation `json:"faults"`
}

// stateResponse is what GET /v1/state shows.
type stateResponse struct {
	Self         membership.Replica             `json:"self"`
	Phase        consensus.Phase                `json:"phase"`
	Promised     uint64                         `json:"promised"`
	Position     consensus.Position             `json:"mark"`
	Members      consensus.MemberSets           `json:"slots"`
	Incarnations map[int]consensus.MemberRecord `json:"incarnations"`
	Coordinator  int                            `json:"duty"`
	Replicas     []membership.Replica           `json:"cores"`
	Live         []int                          `json:"live"`
	Directory    watch.Status                   `json:"directory"`
}

// apiHandler serves a core's /v1, /live and /ready.
func (n *Node) apiHandler() http.Handler {
	mux := http.NewServeMux()
	n.process.RegisterCommon(mux, n.isLive, n.Ready)
	mux.HandleFunc("PUT /v1/desired", n.putDesired)
	mux.HandleFunc("GET /v1/desired", n.getDesired)
	mux.HandleFunc("GET /v1/localities", n.getZones)
	mux.HandleFunc("GET /v1/localities/{name}", n.getZoneDrain)
	mux.HandleFunc("PUT /v1/localities/{name}/emptied", n.evacuationHandler(consensus.CommandEvacuate))
	mux.HandleFunc("DELETE /v1/localities/{name}/emptied", n.evacuationHandler(consensus.CommandRevokeEvacuation))
	mux.HandleFunc("PUT /v1/windows", n.putWindows)
	mux.HandleFunc("GET /v1/windows", n.getWindows)
	mux.HandleFunc("DELETE /v1/windows", func(w http.ResponseWriter, r *http.Request) {
		n.putCalendar(w, r, nil)
	})
	mux.HandleFunc("GET /v1/traces/{id}", n.getTrace)
	mux.HandleFunc("GET /v1/state", n.getState)
	mux.Handle("GET /v1/reload", n.reloader)
	mux.Handle("GET /metrics", n.metricsHandler())
	mux.HandleFunc("GET /v1/budgets", n.getBudgets)
	return mux
}

func (n *Node) isLive(ctx context.Context) (bool, string) {
	_, ok := n.directory.Status(ctx)
	return ok, "control thread"
}

func (n *Node) getState(w http.ResponseWriter, r *http.Request) {
	acceptor := n.replica.Acceptor()
	st := stateResponse{Self: n.replicaStatus(), Phase: acceptor.Phase, Promised: acceptor.Promised, Position: acceptor.Position, Members: acceptor.MemberSets(), Incarnations: acceptor.Members, Coordinator: n.coordinator().MemberID, Replicas: n.discovery.Replicas().Observed()}
	for _, c := range n.discovery.Replicas().Live(time.Now()) {
		st.Live = append(st.Live, c.MemberID)
	}
	st.Directory, _ = n.directory.Status(r.Context())
	process.JSON(w, http.StatusOK, st)
}

// readBody reads an operator's document of at most so many bytes.
func readBody(w http.ResponseWriter, r *http.Request, what, path string, most int64) ([]byte, bool) {
	b, err := process.ReadDocument(w, r, most)
	switch {
	case err == nil:
	case err.Status == http.StatusRequestEntityTooLarge:
		process.JSON(w, http.StatusUnprocessableEntity, validationError{
			Error:  what + " does not check",
			Faults: []config.FieldViolation{{Path: path, Message: err.Message}},
		})
	default:
		process.Error(w, err.Status, err.Message)
	}
	return b, err == nil
}

func (n *Node) putDesired(w http.ResponseWriter, r *http.Request) {
	bytes, ok := readBody(w, r, "configuration", "$", config.MaxBytes)
	if !ok {
		return
	}
	update := ConfigurationUpdate{Configuration: bytes}
	if update.IfMatch, ok = parseIfMatch(w, r); !ok {
		return
	}
	if text := r.Header.Get(headerGeneration); text != "" {
		var err error
		if update.Generation, err = strconv.ParseUint(text, 10, 64); err != nil || update.Generation == 0 {
			process.Error(w, http.StatusBadRequest, headerGeneration+" is no number from 1")
			return
		}
	}
	if !json.Valid(bytes) {
		process.Error(w, http.StatusBadRequest, "not JSON")
		return
	}
	result, faults := n.PutConfiguration(r.Context(), update)
	if len(faults) > 0 {
		process.JSON(w, http.StatusUnprocessableEntity, validationError{Error: "configuration does not check", Faults: faults})
		return
	}
	n.writeResult(w, r, result)
}

func (n *Node) evacuationHandler(kind consensus.CommandKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		if !config.IsValidName(name) {
			process.JSON(w, http.StatusUnprocessableEntity, validationError{Error: "no locality", Faults: []config.FieldViolation{{Path: name, Message: "must be " + config.NameRules}}})
			return
		}
		if m, ok := parseIfMatch(w, r); ok {
			n.writeResult(w, r, n.submitZoneCommand(r.Context(), consensus.Command{Kind: kind, Zone: name, IfMatch: m}))
		}
	}
}

// parseIfMatch reads the stamp that an order is bound to; false if it is none.
func parseIfMatch(w http.ResponseWriter, r *http.Request) (*uint64, bool) {
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

// writeResult tells what is known of an order that was carried out.
func (n *Node) writeResult(w http.ResponseWriter, r *http.Request, result consensus.CommandResult) {
	out := writeResponse{Result: result.Outcome, Revision: result.State.Revision}
	status := http.StatusOK
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		setRevisionHeaders(w, result.State.Revision)
		behind, known := n.WaitApplied(r.Context(), result.State.Revision)
		inForce := known && len(behind) == 0
		out.Applied, out.Behind = &inForce, behind
	case consensus.OutcomeMismatch:
		status, out.Revision, out.Error = http.StatusPreconditionFailed, result.State.ConfigurationRevision, "the newest stamp is another one"
	case consensus.OutcomeConflict:
		status, out.Revision, out.Error = http.StatusConflict, 0, "another configuration was taken under its number"
	default:
		out.Error = "no majority of cores took it"
		if result.Outcome == consensus.OutcomeSuperseded {
			out.Error = "a newer order on the locality was taken meanwhile"
		}
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	process.JSON(w, status, out)
}

func setRevisionHeaders(w http.ResponseWriter, stamp uint64) {
	w.Header().Set(headerRevision, strconv.FormatUint(stamp, 10))
	w.Header().Set("ETag", `"`+strconv.FormatUint(stamp, 10)+`"`)
}

// readStateOrFail reads the newest word back from a majority.
func (n *Node) readStateOrFail(w http.ResponseWriter, r *http.Request) (config.ControlState, bool) {
	state, ok := n.QuorumRead(r.Context())
	if !ok {
		w.Header().Set("Retry-After", "1")
		process.Error(w, http.StatusServiceUnavailable, "no majority of cores answers")
	}
	return state, ok
}

func (n *Node) getDesired(w http.ResponseWriter, r *http.Request) {
	state, ok := n.readStateOrFail(w, r)
	if !ok {
		return
	}
	if state.ConfigurationRevision == 0 {
		process.Error(w, http.StatusNotFound, "no configuration was ever put")
		return
	}
	setRevisionHeaders(w, state.ConfigurationRevision)
	if state.Generation != 0 {
		w.Header().Set(headerGeneration, strconv.FormatUint(state.Generation, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(state.Configuration)
}

func (n *Node) getZones(w http.ResponseWriter, r *http.Request) {
	if state, ok := n.readStateOrFail(w, r); ok {
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
	process.JSON(w, http.StatusOK, retrybudget.BudgetList{Complete: st.Ready, Budgets: table.BudgetReports(n.directory.Budgets())})
}

// getZoneDrain reports what still runs in a zone, and since when nothing does. A core
// that knows of no newer word, since it is cut off, reports nothing.
func (n *Node) getZoneDrain(w http.ResponseWriter, r *http.Request) {
	newest, contact := n.replica.ReadIndex(r.Context())
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
	set, own := n.members(), n.replica.Acceptor().Self.MemberID
	parts := make(chan part, len(set))
	for _, slot := range set {
		n.process.Actors.Go(ctx, "trace-query", func(ctx context.Context) {
			addr, known := n.Addr(slot)
			if slot == own {
				addr, known = n.cfg.Advertise, true
			}
			var b tracestore.Batch
			got := known && n.process.TransportClient.Call(ctx, addr, transport.ControlTraffic, tracestore.KindTrace, tracestore.Query{Trace: id}).Decode(&b)
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
	t := tracestore.BuildTree(id, events)
	t.Unreachable, t.Complete = unasked, t.Complete && len(unasked) == 0
	status := http.StatusOK
	if t.Spans == 0 {
		status = http.StatusNotFound
	}
	process.JSON(w, status, t)
}
