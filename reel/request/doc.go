// Package request implements the execution of one request over all shards that it needs: first attempts, hedges,
// retries and the merged result.
//
// The package is a pure state machine. The host passes it the time and the answers of holders, and carries out the
// actions that it returns. Sub-requests go to the holders of the targets; package query implements requests that are
// sent to targets directly.
package request
