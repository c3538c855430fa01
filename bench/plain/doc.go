// Package plain is the baseline: an instance that calls a random replica of every shard and waits for all.
package plain
