// Package gossip keeps news that is to be told to peers a bounded number of times.
package gossip
