// Package route chooses targets and holders for sub-requests and the snapshot that a request is pinned to.
package route
