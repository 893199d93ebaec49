// Package process is what both programs have in common: their start and end, signals and reloads,
// HTTP servers, and the log ring, which is printed when something goes wrong. (DESIGN 11)
//
// A graceful shutdown leaves no client without an answer: connections are closed only while they
// are idle, after a closing response that promises the client that no request on it was run; see
// HTTPServer.CloseIdle and trackedConn. (DESIGN 11.3)
package process
