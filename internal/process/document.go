package process

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// documentTimeout is how long a document that an operator uploads may take to arrive.
const documentTimeout = 30 * time.Second

// DocumentError is the reason why a document was not read completely.
type DocumentError struct {
	// Status is the HTTP status of the response: 413 if the document exceeds the size limit, 408
	// if it did not arrive in time, 400 if it was truncated.
	Status  int
	Message string
}

// Error implements error.
func (e *DocumentError) Error() string { return e.Message }

// ReadDocument reads the body of a request. It fails if the body is longer than maxBytes or does
// not arrive within documentTimeout.
func ReadDocument(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *DocumentError) {
	return readDocument(w, r, maxBytes, documentTimeout)
}

func readDocument(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, *DocumentError) {
	// net/http removes the deadline when the end of the body has been read.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &DocumentError{http.StatusRequestEntityTooLarge, fmt.Sprintf("over %d bytes", maxBytes)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &DocumentError{http.StatusRequestTimeout, "the body did not come in time"}
	}
	return nil, &DocumentError{http.StatusBadRequest, "the body was cut short"}
}
