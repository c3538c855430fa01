// Package ticket implements tickets for requests that are not idempotent. Only the process that issued a ticket, its
// owner, may run the request under it, and runs it at most once.
package ticket
