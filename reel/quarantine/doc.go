// Package quarantine limits how many targets one request can crash, across all instances and client retries.
//
// A request is identified by the fingerprint of its kind and content. When a target crashes while a fingerprint
// runs on it, the instance records a mark and replicates the mark to the other instances.
package quarantine
