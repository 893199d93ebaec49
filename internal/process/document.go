package process

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// documentTimeout is how long an operator's document may take to come. (ours)
const documentTimeout = 30 * time.Second

// DocumentError tells why a document was not read whole.
type DocumentError struct {
	// Status is what its caller is to be told: 413 over the bound, 408 if it did not come
	// in time, 400 if it was cut short.
	Status  int
	Message string
}

// Error implements error.
func (e *DocumentError) Error() string { return e.Message }

// ReadDocument reads an operator's document of at most so many bytes, whole.
func ReadDocument(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *DocumentError) {
	return readDocument(w, r, maxBytes, documentTimeout)
}

func readDocument(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, *DocumentError) {
	// net/http takes the deadline off again at the end of the body.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var big *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &big):
		return nil, &DocumentError{http.StatusRequestEntityTooLarge, fmt.Sprintf("over %d bytes", maxBytes)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &DocumentError{http.StatusRequestTimeout, "the body did not come in time"}
	}
	return nil, &DocumentError{http.StatusBadRequest, "the body was cut short"}
}
