// Package plain implements the baseline: an instance that calls a random replica of every shard and waits for all
// replies, without hedging, retries or load balancing.
package plain
