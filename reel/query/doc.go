// Package query runs one request over one target or over one target of each shard, as a machine without clock or socket.
package query
