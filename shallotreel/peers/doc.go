// Package peers carries messages between instances: datagrams for control, net/rpc batches for work.
package peers
