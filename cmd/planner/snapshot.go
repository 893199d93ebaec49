package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/plan"
)

// readSnapshot takes the state from a file or from a live core.
func readSnapshot(o options) (s plan.Snapshot, err error) {
	switch {
	case (o.Core == "") == (o.State == ""):
		return s, fmt.Errorf("one of --core and --state is needed")
	case o.State != "":
		b, err := os.ReadFile(o.State)
		if err != nil {
			return s, err
		}
		return s, json.Unmarshal(b, &s)
	}
	var state struct {
		Cores     []membership.Replica `json:"cores"`
		Self      membership.Replica   `json:"self"`
		Directory struct {
			Nodes []membership.Node `json:"nodes"`
		} `json:"directory"`
	}
	var localities struct {
		Emptied []string `json:"emptied"`
	}
	var windows struct {
		Coming []maintenance.Occurrence `json:"coming"`
	}
	for path, into := range map[string]any{"/v1/state": &state, "/v1/localities": &localities, "/v1/windows": &windows} {
		b, status, err := fetch(o.Core, path)
		if err != nil {
			return s, err
		}
		if status != http.StatusOK {
			return s, fmt.Errorf("%s: status %d", path, status)
		}
		if err := json.Unmarshal(b, into); err != nil {
			return s, fmt.Errorf("%s: %w", path, err)
		}
	}
	b, status, err := fetch(o.Core, "/v1/desired")
	switch {
	case err != nil:
		return s, err
	case status == http.StatusOK:
		s.Configuration = string(b)
	case status != http.StatusNotFound:
		return s, fmt.Errorf("/v1/desired: status %d", status)
	}
	s.EvacuatedZones, s.Nodes, s.Replicas = localities.Emptied, state.Directory.Nodes, insertSelf(state.Cores, state.Self)
	s.Windows = windows.Coming
	return s, nil
}

// insertSelf puts the core that was asked among those that it knows, by slot.
func insertSelf(cores []membership.Replica, self membership.Replica) (out []membership.Replica) {
	placed := false
	for _, c := range cores {
		if !placed && self.MemberID <= c.MemberID {
			out, placed = append(out, self), true
		}
		if c.MemberID != self.MemberID {
			out = append(out, c)
		}
	}
	if !placed {
		out = append(out, self)
	}
	return out
}

func fetch(core, path string) ([]byte, int, error) {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + core + path)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return b, resp.StatusCode, err
}
