// Package peers implements the communication between instances: control packets in UDP datagrams, and sub-requests,
// their answers and cancellations in batches over net/rpc.
package peers
