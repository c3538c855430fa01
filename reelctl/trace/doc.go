// Package trace finds the log lines of several instances that concern one request and prints them in order of time.
package trace
