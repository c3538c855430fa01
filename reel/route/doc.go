// Package route chooses the target and the holder of each sub-request, and the snapshot that a request is pinned to.
//
// A target is one replica of a shard. The holder of a target is the instance that keeps its connections and queue;
// it is chosen by rendezvous hashing.
package route
