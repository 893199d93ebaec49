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

// Reply is an answer to an operator.
type Reply struct {
	Status   int
	Revision uint64
	// Generation is the operator's own number of what was read.
	Generation uint64
	Revoked    string
	Body       []byte
}

// Operate sends an operator's request to a core.
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
		Taken string `json:"taken"`
	}
	json.Unmarshal(r.Body, &out)
	r.Revoked = out.Taken
	return r, nil
}

// EvacuateZone asks a core to empty a zone, and TakeBack to take it back; the ledger
// goes by when they were asked.
func (f *Fleet) EvacuateZone(ctx context.Context, replica *Program, zone string) (Reply, error) {
	f.Ledger.RecordEvacuation(zone, time.Now())
	return f.operateOK(ctx, replica, http.MethodPut, "/v1/localities/"+zone+"/emptied", nil)
}

// RestoreZone asks a core to take a zone back.
func (f *Fleet) RestoreZone(ctx context.Context, replica *Program, zone string) (Reply, error) {
	f.Ledger.RecordRestored(zone, time.Now())
	return f.operateOK(ctx, replica, http.MethodDelete, "/v1/localities/"+zone+"/emptied", nil)
}

// operateOK is Operate for what must be taken.
func (f *Fleet) operateOK(ctx context.Context, replica *Program, method, path string, body []byte) (Reply, error) {
	r, err := f.Operate(ctx, replica, method, path, body)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d %s", method, path, r.Status, r.Body)
	}
	return r, err
}

// PutConfiguration puts a configuration to the nth core and returns its stamp.
func (f *Fleet) PutConfiguration(ctx context.Context, replica int, body []byte) (uint64, error) {
	r, err := f.operateOK(ctx, f.Replicas[replica], http.MethodPut, "/v1/desired", body)
	return r.Revision, err
}
