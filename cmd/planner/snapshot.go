package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/plan"
)

// fetchTimeout bounds each request to the control plane node.
const fetchTimeout = 5 * time.Second

// errNoSource is returned if the options name no source of the state, or two sources.
var errNoSource = errors.New("exactly one of --core and --state is required")

// readSnapshot reads the state from a file or from a live control plane node, whichever o names.
func readSnapshot(o options) (plan.Snapshot, error) {
	switch {
	case (o.ControlPlane == "") == (o.State == ""):
		return plan.Snapshot{}, errNoSource
	case o.State != "":
		return loadSnapshot(o.State)
	}
	return fetchSnapshot(o.ControlPlane)
}

func loadSnapshot(file string) (snapshot plan.Snapshot, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return snapshot, err
	}
	err = json.Unmarshal(b, &snapshot)
	return snapshot, err
}

func saveSnapshot(file string, snapshot plan.Snapshot) error {
	b, err := json.MarshalIndent(snapshot, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o640)
}

// The parts of the /v1 documents that a snapshot needs.
type (
	stateDocument struct {
		Replicas []membership.Replica `json:"cores"`
		Self     membership.Replica   `json:"self"`
		Watch    struct {
			Nodes []membership.Node `json:"nodes"`
		} `json:"directory"`
	}
	zonesDocument struct {
		Evacuated []string `json:"emptied"`
	}
	windowsDocument struct {
		Upcoming []maintenance.Occurrence `json:"coming"`
	}
)

// fetchSnapshot reads the state of a live control plane node from its control address.
func fetchSnapshot(addr string) (snapshot plan.Snapshot, err error) {
	var state stateDocument
	var zones zonesDocument
	var windows windowsDocument
	for path, document := range map[string]any{"/v1/state": &state, "/v1/localities": &zones, "/v1/windows": &windows} {
		if err := fetchDocument(addr, path, document); err != nil {
			return snapshot, err
		}
	}
	snapshot = plan.Snapshot{
		EvacuatedZones: zones.Evacuated,
		Nodes:          state.Watch.Nodes,
		Replicas:       insertSelf(state.Replicas, state.Self),
		Windows:        windows.Upcoming,
	}
	body, status, err := fetch(addr, "/v1/desired")
	switch {
	case err != nil:
		return snapshot, err
	case status == http.StatusOK:
		snapshot.Configuration = string(body)
	case status != http.StatusNotFound:
		return snapshot, fmt.Errorf("GET /v1/desired: got status %d, want 200 or 404", status)
	}
	return snapshot, nil
}

// insertSelf inserts self, the replica that sent the state, into the replicas that it knows, in the
// order of the member IDs. It replaces a known replica that has the same member ID as self.
func insertSelf(replicas []membership.Replica, self membership.Replica) (all []membership.Replica) {
	inserted := false
	for _, replica := range replicas {
		if !inserted && self.MemberID <= replica.MemberID {
			all, inserted = append(all, self), true
		}
		if replica.MemberID != self.MemberID {
			all = append(all, replica)
		}
	}
	if !inserted {
		all = append(all, self)
	}
	return all
}

// fetchDocument reads a JSON document from a control address and decodes it into document. It returns
// an error if the status is not 200.
func fetchDocument(addr, path string, document any) error {
	body, status, err := fetch(addr, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: got status %d, want 200", path, status)
	}
	if err := json.Unmarshal(body, document); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

func fetch(addr, path string) (body []byte, status int, err error) {
	client := http.Client{Timeout: fetchTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return body, resp.StatusCode, err
}
