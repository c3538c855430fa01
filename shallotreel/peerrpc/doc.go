// Package peerrpc listens for the net/rpc calls of other instances. Each connection has services of its own, which learn
// when the peer has disconnected.
package peerrpc
