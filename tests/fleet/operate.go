package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Reply is the answer to an operator's request.
type Reply struct {
	Status   int
	Revision uint64
	// Generation is the operator's own version number of the configuration that was read.
	Generation uint64
	// Outcome is the outcome of a command. It is empty for a read.
	Outcome string
	Body    []byte
}

// Operate sends an operator's request to a replica. header lists header names and values
// alternately.
func (f *Fleet) Operate(ctx context.Context, replica *Program, method, path string, body []byte, header ...string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+replica.Control+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	r := Reply{Status: resp.StatusCode}
	if r.Body, err = io.ReadAll(resp.Body); err != nil {
		return r, err
	}
	r.Revision, _ = strconv.ParseUint(resp.Header.Get("Curlewwalk-Stamp"), 10, 64)
	r.Generation, _ = strconv.ParseUint(resp.Header.Get("Curlewwalk-Edition"), 10, 64)
	var out struct {
		Outcome string `json:"taken"`
	}
	json.Unmarshal(r.Body, &out)
	r.Outcome = out.Outcome
	return r, nil
}

// EvacuateZone requests the evacuation of a zone from a replica. The ledger records the time of the
// request, not of the answer.
func (f *Fleet) EvacuateZone(ctx context.Context, replica *Program, zone string) (Reply, error) {
	f.Ledger.RecordEvacuation(zone, time.Now())
	return f.operateOK(ctx, replica, http.MethodPut, "/v1/localities/"+zone+"/emptied", nil)
}

// RestoreZone requests the restoration of an evacuated zone from a replica. The ledger records the
// time of the request.
func (f *Fleet) RestoreZone(ctx context.Context, replica *Program, zone string) (Reply, error) {
	f.Ledger.RecordRestored(zone, time.Now())
	return f.operateOK(ctx, replica, http.MethodDelete, "/v1/localities/"+zone+"/emptied", nil)
}

// operateOK is like Operate but returns an error if the status is not 200.
func (f *Fleet) operateOK(ctx context.Context, replica *Program, method, path string, body []byte) (Reply, error) {
	r, err := f.Operate(ctx, replica, method, path, body)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d %s", method, path, r.Status, r.Body)
	}
	return r, err
}

// PutConfiguration sends a configuration to the nth replica and returns its revision.
func (f *Fleet) PutConfiguration(ctx context.Context, replica int, body []byte) (uint64, error) {
	r, err := f.operateOK(ctx, f.Replicas[replica], http.MethodPut, "/v1/desired", body)
	return r.Revision, err
}
