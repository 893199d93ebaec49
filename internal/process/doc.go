// Package process contains the code that both programs share: start and shutdown, signals and
// settings reloads, HTTP servers, and the log ring, which is printed when the process fails.
// (DESIGN 11)
//
// A graceful shutdown leaves no request without a response. A connection is closed only while it
// is idle, after a closing response. The closing response guarantees to the client that a request
// it may be sending at that moment has not been run. See HTTPServer.CloseIdle and trackedConn.
// (DESIGN 11.3)
package process
