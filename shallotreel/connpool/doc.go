// Package connpool implements a pool of HTTP/1.1 connections to targets. Each connection carries one request at a time,
// and a response is delivered only if it names the request that it answers. The pool neither selects targets nor
// retries requests.
package connpool
