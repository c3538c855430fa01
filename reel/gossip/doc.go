// Package gossip provides a queue of updates for dissemination by gossip. Each update
// is sent a number of times that grows with the logarithm of the fleet's size.
package gossip
