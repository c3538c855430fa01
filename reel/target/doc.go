// Package target defines the protocol between instances and targets, which is JSON over HTTP POST with one HTTP request
// for each sub-request, and implements a client of it.
package target
