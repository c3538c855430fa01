// Package line owns the connections to targets: one request at a time on each, and no answer to another's request.
package line
