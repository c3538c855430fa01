// Package feed keeps the instance's catalogue of targets and configuration up to date. It reads changes from the
// platform's store, or from a peer instance that reads the store, and serves them to peers.
package feed
