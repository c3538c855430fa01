// Package linelimit limits the log lines of one kind in a second.
package linelimit
