// Package ticket lets a request that may not be repeated run at most once, at the one owner of its ticket.
package ticket
