// Package cataloguesync replicates the catalogue between instances by net/rpc, so that
// only a few instances read the store.
package cataloguesync
