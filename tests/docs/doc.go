// Package docs checks the pages under docs/ against the code. Names and paths that a page quotes must
// exist, and so must the sections of the design page that pages and sources cite. The on-call
// table of log lines must match the code.
package docs
